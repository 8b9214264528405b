package account

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// ErrNoSteps means that nothing that was read tells of a step.
var ErrNoSteps = errors.New("no step in the logs; give logs of the instances that ran batches, at level info")

// Log is what was read of the logs of any number of instances. Its zero value is
// empty.
type Log struct {
	begins map[string][]begin
	items  map[itemKey]item
	ends   map[string]end
	faults []Fault
}

// Fault is a line about a step that can't be read: instances that end abruptly
// leave torn ones.
type Fault struct {
	File string `json:"file"`
	// Line counts from 1.
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

// Error implements error.
func (f Fault) Error() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

type itemKey struct{ batch, item string }

// begin is a line of an instance that accepted a batch or took it over.
type begin struct {
	at    time.Time
	batch string
	model string
	step  int
	items int
	age   time.Duration
}

// asked returns when the batch was submitted.
func (b begin) asked() time.Time { return b.at.Add(-b.age) }

// item is a line about an item that was made.
type item struct {
	itemKey
	events, restored, remade, attempts int

	waited, ran, stood, scored time.Duration
}

// end is a line about the end of a step.
type end struct {
	at       time.Time
	batch    string
	critical string
	// made, readable and age count from the last owner's beginning.
	made, readable, age time.Duration
}

// begun returns when the last owner began.
func (e end) begun() time.Time { return e.at.Add(-e.age) }

// Read takes the lines of one file. Lines that don't tell of steps are passed
// over, and so is what stands before the fields of a line. The error is that of
// r; lines that can't be read are kept as faults.
func (l *Log) Read(name string, r io.Reader) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), maxLine)
	n := 0
	for scan.Scan() {
		n++
		if err := l.line(scan.Text()); err != nil {
			l.faults = append(l.faults, Fault{
				File:   name,
				Line:   n,
				Reason: err.Error(),
			})
		}
	}
	if err := scan.Err(); err != nil {
		return fmt.Errorf("%s:%d: %w", name, n+1, err)
	}
	return nil
}

// Faults returns the lines that could not be read.
func (l *Log) Faults() []Fault { return l.faults }

// line takes one line.
func (l *Log) line(text string) error {
	at := strings.Index(text, fieldTime+"=")
	if at < 0 || !strings.Contains(text, fieldDecision+"=") {
		return nil
	}
	f, err := parse(text[at:])
	if err != nil {
		return err
	}
	switch f.values[fieldDecision] {
	case "accept", "prepare", "take_over":
		l.begin(f)
	case "item":
		l.item(f)
	case "end":
		l.end(f)
	default:
		return nil
	}
	return f.err
}

func (l *Log) begin(f *fields) {
	b := begin{
		at:    f.time(),
		batch: f.text("request_id"),
		model: f.text("model"),
		step:  f.number("step"),
		items: f.number("items"),
		age:   f.duration("age_ms"),
	}
	if f.err != nil {
		return
	}
	if l.begins == nil {
		l.begins = make(map[string][]begin)
	}
	l.begins[b.batch] = append(l.begins[b.batch], b)
}

func (l *Log) item(f *fields) {
	i := item{
		itemKey: itemKey{
			batch: f.text("batch"),
			item:  f.text("request_id"),
		},
		events:   f.number("events"),
		restored: f.number("restored"),
		remade:   f.number("remade"),
		attempts: f.number("attempts"),
		waited:   f.duration("waited_ms"),
		ran:      f.duration("ran_ms"),
		stood:    f.duration("stood_ms"),
		scored:   f.duration("scored_ms"),
	}
	if f.err != nil {
		return
	}
	if l.items == nil {
		l.items = make(map[itemKey]item)
	}
	l.items[i.itemKey] = i
}

func (l *Log) end(f *fields) {
	e := end{
		at:       f.time(),
		batch:    f.text("request_id"),
		critical: f.values["critical"],
		made:     f.duration("made_ms"),
		readable: f.duration("readable_ms"),
		age:      f.duration("age_ms"),
	}
	if f.err != nil {
		return
	}
	if l.ends == nil {
		l.ends = make(map[string]end)
	}
	l.ends[e.batch] = e
}

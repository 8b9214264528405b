package steptime

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// ErrNoSteps means that the logs have no line about a step.
var ErrNoSteps = errors.New("no step in the logs; give logs of the instances that ran batches, at level info")

// Log has the lines about steps from the logs of any number of instances. The zero value
// is empty and ready to use.
type Log struct {
	begins map[string][]beginRecord
	items  map[itemKey]itemRecord
	ends   map[string]endRecord
	faults []BadLine
}

// BadLine is a line about a step that can't be read. Instances that end abruptly leave
// incomplete lines.
type BadLine struct {
	File string `json:"file"`
	// Line counts from 1.
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

// Error implements error.
func (f BadLine) Error() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

type itemKey struct{ batch, item string }

// beginRecord is the line of an instance that accepted a batch or took it over. age is
// the time since the submission.
type beginRecord struct {
	at    time.Time
	batch string
	model string
	step  int
	items int
	age   time.Duration
}

// submitted returns when the batch was submitted.
func (b beginRecord) submitted() time.Time { return b.at.Add(-b.age) }

// itemRecord is the line about a finished item.
type itemRecord struct {
	itemKey
	// restored events were made by an earlier owner, remade ones were dropped and made
	// again.
	events, restored, remade, attempts int

	// waited is the time in the queue, ran the time at engines, stalled the part of ran
	// without events, and scored the time of the reward call.
	waited, ran, stalled, scored time.Duration
}

// endRecord is the line about the end of a step.
type endRecord struct {
	at       time.Time
	batch    string
	critical string
	// made, readable and age are the times from when the last owner began until the
	// groups that the trainer waits for were whole, until their results were readable,
	// and until the step ended.
	made, readable, age time.Duration
}

// ownerBegan returns when the last owner began.
func (e endRecord) ownerBegan() time.Time { return e.at.Add(-e.age) }

// Read adds the lines of one log file. It skips lines that are not about steps, and any
// text before the fields of a line. Lines that can't be read are kept as faults; the
// returned error is that of reading r.
func (l *Log) Read(name string, r io.Reader) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	n := 0
	for scan.Scan() {
		n++
		if err := l.addLine(scan.Text()); err != nil {
			l.faults = append(l.faults, BadLine{
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
func (l *Log) Faults() []BadLine { return l.faults }

// addLine adds one line, if it is about a step.
func (l *Log) addLine(text string) error {
	at := strings.Index(text, fieldTime+"=")
	if at < 0 || !strings.Contains(text, fieldDecision+"=") {
		return nil
	}
	f, err := parseFields(text[at:])
	if err != nil {
		return err
	}
	switch f.values[fieldDecision] {
	case "accept", "prepare", "take_over":
		l.addBegin(f)
	case "item":
		l.addItem(f)
	case "end":
		l.addEnd(f)
	default:
		return nil
	}
	return f.err
}

func (l *Log) addBegin(f *fields) {
	b := beginRecord{
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
		l.begins = make(map[string][]beginRecord)
	}
	l.begins[b.batch] = append(l.begins[b.batch], b)
}

func (l *Log) addItem(f *fields) {
	i := itemRecord{
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
		stalled:  f.duration("stood_ms"),
		scored:   f.duration("scored_ms"),
	}
	if f.err != nil {
		return
	}
	if l.items == nil {
		l.items = make(map[itemKey]itemRecord)
	}
	l.items[i.itemKey] = i
}

func (l *Log) addEnd(f *fields) {
	e := endRecord{
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
		l.ends = make(map[string]endRecord)
	}
	l.ends[e.batch] = e
}

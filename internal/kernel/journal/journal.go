package journal

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// FlushPeriod is how long a line may wait in the buffer before it is written.
const FlushPeriod = 500 * time.Millisecond

// bufferSize holds about a thousand decision lines.
const bufferSize = 256 << 10

// writeSize is the most bytes of one write. A larger one to a pipe may be split
// anywhere, and its halves mixed with the lines of other instances.
const writeSize = 4096

// Journal writes events. Its zero value drops them.
type Journal struct {
	log      *log.Entry
	out      *buffer
	instance string
	memory   memory
	forgets  bool
}

// Forget keeps the journal from remembering decisions, where nobody can ask for
// them: they take some megabytes. It is called before the first one.
func (j *Journal) Forget() { j.forgets = true }

// buffer keeps lines together so that a request costs no write system call, and
// drops lines when the reader of the log does not keep up: a full pipe would
// otherwise hold every request that logs.
type buffer struct {
	mu      sync.Mutex
	lines   []byte
	spare   []byte
	dropped int

	writing sync.Mutex
	w       io.Writer
}

// Write implements io.Writer. It takes one whole line and never waits for the
// reader.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lines)+len(p) > bufferSize {
		b.dropped++
		return len(p), nil
	}
	b.lines = append(b.lines, p...)
	return len(p), nil
}

// Flush writes what is buffered, and how many lines were dropped.
func (b *buffer) Flush() error {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	lines, dropped := b.lines, b.dropped
	b.lines, b.spare, b.dropped = b.spare[:0], nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn message=\"log lines dropped\" lines=%d\n", dropped)
	}
	err := b.writeWhole(lines)
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
	return err
}

// writeWhole writes lines in pieces that end where a line ends.
func (b *buffer) writeWhole(lines []byte) error {
	for len(lines) > 0 {
		n := wholeLines(lines, writeSize)
		if _, err := b.w.Write(lines[:n]); err != nil {
			return err
		}
		lines = lines[n:]
	}
	return nil
}

// wholeLines returns the length of the lines that fit into some bytes, at least
// that of the first one.
func wholeLines(lines []byte, most int) int {
	if len(lines) <= most {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:most], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// Open returns a journal that writes to w from the named level up. Every line
// carries the instance's name.
func Open(w io.Writer, level, instance string) (*Journal, error) {
	lv, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w; use debug, info, warn or error", level, err)
	}
	out := &buffer{
		w: w,
	}
	logger := &log.Logger{
		Handler: logfmt.New(out),
		Level:   lv,
	}
	return &Journal{
		log:      logger.WithField("instance", instance),
		out:      out,
		instance: instance,
	}, nil
}

// Run flushes the buffer until t dies, and once more then.
func (j *Journal) Run(t *tomb.Tomb, svc timer.Service) error {
	sub := svc.Every(FlushPeriod)
	defer sub.Close()
	for {
		select {
		case <-sub.C:
			_ = j.Flush()
		case <-t.Dying():
			return j.Flush()
		}
	}
}

// Flush writes what is buffered.
func (j *Journal) Flush() error {
	if j == nil || j.out == nil {
		return nil
	}
	return j.out.Flush()
}

// Decision writes one routing or placement decision.
func (j *Journal) Decision(what string, fields log.Fields) {
	if j == nil || j.log == nil {
		return
	}
	if !j.forgets {
		j.memory.add(what, fields)
	}
	j.log.WithFields(fields).WithField("decision", what).Info("decision")
}

// Event writes one event at level info.
func (j *Journal) Event(what string, fields log.Fields) {
	if j == nil || j.log == nil {
		return
	}
	j.log.WithFields(fields).Info(what)
}

// Detail writes one event at level debug.
func (j *Journal) Detail(what string, fields log.Fields) {
	if j == nil || j.log == nil || j.log.Logger.Level > log.DebugLevel {
		return
	}
	j.log.WithFields(fields).Debug(what)
}

// Trouble writes one event that an operator may want to read the next day.
func (j *Journal) Trouble(what string, err error, fields log.Fields) {
	if j == nil || j.log == nil {
		return
	}
	j.log.WithFields(fields).WithError(err).Warn(what)
}

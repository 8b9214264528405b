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

// FlushPeriod is the interval at which Run writes buffered lines.
const FlushPeriod = 500 * time.Millisecond

// maxBufferSize is the capacity of the buffer in bytes, enough for about a thousand
// decision lines.
const maxBufferSize = 256 << 10

// maxWriteSize is the largest write in bytes. The kernel may split a larger write
// to a pipe anywhere and interleave the parts with lines of other instances.
const maxWriteSize = 4096

// Journal writes log events. A nil or zero Journal discards them.
type Journal struct {
	log             *log.Entry
	out             *buffer
	instance        string
	history         history
	historyDisabled bool
	problems        problems
}

// DisableHistory disables the in-memory history of decisions, which takes some megabytes,
// for processes that offer no way to query it. Call it before the first decision.
func (j *Journal) DisableHistory() { j.historyDisabled = true }

// buffer collects lines so that a request makes no write system call. It drops
// lines when the reader of the log does not keep up, since a full pipe would
// otherwise block every request that logs.
type buffer struct {
	mu      sync.Mutex
	lines   []byte
	spare   []byte
	dropped int

	flushMu sync.Mutex
	w       io.Writer
}

// Write implements io.Writer. It buffers one whole line, or drops it when the
// buffer is full, and never waits for the reader of the log.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lines)+len(p) > maxBufferSize {
		b.dropped++
		return len(p), nil
	}
	b.lines = append(b.lines, p...)
	return len(p), nil
}

// Flush writes the buffered lines, and a line with the number of dropped ones.
func (b *buffer) Flush() error {
	b.flushMu.Lock()
	defer b.flushMu.Unlock()
	b.mu.Lock()
	lines, dropped := b.lines, b.dropped
	b.lines, b.spare, b.dropped = b.spare[:0], nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn message=\"log lines dropped\" lines=%d\n", dropped)
	}
	err := b.writeLines(lines)
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
	return err
}

// writeLines writes lines in chunks of whole lines, each at most maxWriteSize
// unless a single line is longer.
func (b *buffer) writeLines(lines []byte) error {
	for len(lines) > 0 {
		n := wholeLinesLen(lines, maxWriteSize)
		if _, err := b.w.Write(lines[:n]); err != nil {
			return err
		}
		lines = lines[n:]
	}
	return nil
}

// wholeLinesLen returns the length of the leading whole lines that fit into limit
// bytes, or the length of the first line when it alone is longer.
func wholeLinesLen(lines []byte, limit int) int {
	if len(lines) <= limit {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:limit], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// Open returns a journal that writes events of the given level and above to w.
// Every line carries the name of the instance.
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

// Run flushes the buffer every FlushPeriod, and a last time when t is dying.
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

// Flush writes the buffered lines.
func (j *Journal) Flush() error {
	if j == nil || j.out == nil {
		return nil
	}
	return j.out.Flush()
}

// Decision logs a routing or placement decision at level info and adds it to the
// in-memory history.
func (j *Journal) Decision(kind string, fields log.Fields) {
	if j == nil || j.log == nil {
		return
	}
	if !j.historyDisabled {
		j.history.add(kind, fields)
	}
	j.log.WithFields(fields).WithField("decision", kind).Info("decision")
}

// Info logs an event at level info.
func (j *Journal) Info(message string, fields log.Fields) {
	if j == nil || j.log == nil {
		return
	}
	j.log.WithFields(fields).Info(message)
}

// Debug logs an event at level debug.
func (j *Journal) Debug(message string, fields log.Fields) {
	if j == nil || j.log == nil || j.log.Logger.Level > log.DebugLevel {
		return
	}
	j.log.WithFields(fields).Debug(message)
}

// Warn logs an event with its error at level warn, for problems that an operator
// may want to read about the next day.
func (j *Journal) Warn(message string, err error, fields log.Fields) {
	if j == nil || j.log == nil {
		return
	}
	j.log.WithFields(fields).WithError(err).Warn(message)
}

// WarnOnce is Warn for a problem with what is called name, unless its last problem was the same, so that
// one that is met again and again takes one line. A nil err means that there is none any more.
func (j *Journal) WarnOnce(message, name string, err error, fields log.Fields) {
	if j == nil || !j.problems.isNew(name, err) {
		return
	}
	j.Warn(message, err, fields)
}

// maxProblems bounds the names in problems. All are forgotten when there are more.
const maxProblems = 1024

// problems holds the last problem by what it is with. Its zero value is empty.
type problems struct {
	mu     sync.Mutex
	byName map[string]string
}

// isNew records the problem with what is called name, and reports whether it differs from the last one.
func (p *problems) isNew(name string, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		delete(p.byName, name)
		return false
	}
	if last, ok := p.byName[name]; ok && last == err.Error() {
		return false
	}
	if p.byName == nil || len(p.byName) >= maxProblems {
		p.byName = make(map[string]string)
	}
	p.byName[name] = err.Error()
	return true
}

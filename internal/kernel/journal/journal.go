package journal

import (
	"bufio"
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

// Journal writes events. Its zero value drops them.
type Journal struct {
	log      *log.Entry
	out      *buffer
	instance string
	memory   memory
}

// buffer keeps lines together so that a request costs no write system call.
type buffer struct {
	mu sync.Mutex
	w  *bufio.Writer
}

// Write implements io.Writer.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.w.Write(p)
}

// Flush writes what is buffered.
func (b *buffer) Flush() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.w.Flush()
}

// Open returns a journal that writes to w from the named level up. Every line
// carries the instance's name.
func Open(w io.Writer, level, instance string) (*Journal, error) {
	lv, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w; use debug, info, warn or error", level, err)
	}
	out := &buffer{
		w: bufio.NewWriterSize(w, bufferSize),
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
	j.memory.add(what, fields)
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

package journal

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// blockedWriter blocks every write until release is closed, like a full pipe whose
// reader does not keep up.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// Guards against requests that block on logging when the reader of the log stops
// reading: lines must be dropped instead, and the log must say how many.
func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{
		release: make(chan struct{}),
	}
	j, err := Open(w, "info", "gent-a-1")
	is.NoErr(err)
	j.Info("first", log.Fields{})
	flushed := make(chan error, 1)
	go func() { flushed <- j.Flush() }()
	done := make(chan struct{})
	go func() {
		for range 10000 {
			j.Decision("route", log.Fields{
				"request_id": "7c41e09b52d6a3f8",
			})
		}
		close(done)
	}()
	if timer.Wait(timer.Real{}, 20*time.Second, done) {
		t.Fatal("Decision blocks while the reader of the log is stuck")
	}
	close(w.release)
	is.NoErr(<-flushed)
	is.NoErr(j.Flush())
	is.True(strings.Contains(w.String(), "log lines dropped"))
}

// recordedWrites records each write separately, as the writes to a pipe arrive.
type recordedWrites [][]byte

// Write implements io.Writer.
func (w *recordedWrites) Write(data []byte) (int, error) {
	*w = append(*w, bytes.Clone(data))
	return len(data), nil
}

// Guards against torn lines: a pipe may split a write above maxWriteSize in the
// middle of a line.
func TestWritesEndAtLineEnds(t *testing.T) {
	is := is.New(t)
	var w recordedWrites
	j, err := Open(&w, "info", "gent-a-1")
	is.NoErr(err)
	for range 200 {
		j.Decision("route", log.Fields{
			"request_id": "7c41e09b52d6a3f8",
		})
	}
	long := strings.Repeat("x", 2*maxWriteSize)
	j.Info(long, log.Fields{})
	is.NoErr(j.Flush())
	lines := 0
	for _, piece := range w {
		is.Equal(piece[len(piece)-1], byte('\n'))
		n := bytes.Count(piece, []byte{'\n'})
		is.True(n == 1 || len(piece) <= maxWriteSize)
		lines += n
	}
	is.Equal(lines, 201)
}

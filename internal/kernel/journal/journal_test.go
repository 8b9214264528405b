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

// stuck is the reader of a log that does not keep up.
type stuck struct {
	bytes.Buffer
	goOn chan struct{}
}

// Write implements io.Writer.
func (s *stuck) Write(p []byte) (int, error) {
	<-s.goOn
	return s.Buffer.Write(p)
}

// Whoever reads the log stops reading. Requests must go on: lines are dropped,
// and the log says how many.
func TestStuckReaderHoldsNobody(t *testing.T) {
	is := is.New(t)
	w := &stuck{
		goOn: make(chan struct{}),
	}
	j, err := Open(w, "info", "gent-a-1")
	is.NoErr(err)
	j.Event("first", log.Fields{})
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
		t.Fatal("a decision waits for the reader")
	}
	close(w.goOn)
	is.NoErr(<-flushed)
	is.NoErr(j.Flush())
	is.True(strings.Contains(w.String(), "log lines dropped"))
}

// pieces keeps each write by itself, as a pipe does.
type pieces [][]byte

// Write implements io.Writer.
func (p *pieces) Write(data []byte) (int, error) {
	*p = append(*p, bytes.Clone(data))
	return len(data), nil
}

// Guards against lines that are torn where a pipe splits a large write.
func TestLinesAreWrittenWhole(t *testing.T) {
	is := is.New(t)
	var w pieces
	j, err := Open(&w, "info", "gent-a-1")
	is.NoErr(err)
	for range 200 {
		j.Decision("route", log.Fields{
			"request_id": "7c41e09b52d6a3f8",
		})
	}
	long := strings.Repeat("x", 2*writeSize)
	j.Event(long, log.Fields{})
	is.NoErr(j.Flush())
	lines := 0
	for _, piece := range w {
		is.Equal(piece[len(piece)-1], byte('\n'))
		n := bytes.Count(piece, []byte{'\n'})
		is.True(n == 1 || len(piece) <= writeSize)
		lines += n
	}
	is.Equal(lines, 201)
}

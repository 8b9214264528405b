package part

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// endingPart is a part that ends with an error when end is closed.
type endingPart struct {
	end chan struct{}
	err error
}

// Start implements Part.
func (p *endingPart) Start(t *tomb.Tomb) error {
	t.Go(func() error {
		select {
		case <-p.end:
			return p.err
		case <-t.Dying():
			return nil
		}
	})
	return nil
}

// Stop implements Part.
func (*endingPart) Stop() {}

// Guards against an instance that goes on serving without one of its parts.
func TestInstanceStopsIfAPartEnds(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	j, err := journal.Open(&out, "info", "i")
	is.NoErr(err)
	h := &Host{Journal: j}
	shutdown := h.ShutdownRequested()
	ending := &endingPart{
		end: make(chan struct{}),
		err: errors.New("no descriptors"),
	}
	for name, p := range map[string]Part{"listener": ending, "other": &endingPart{}} {
		is.NoErr(h.start(Factory{
			Name: name,
			Make: func(*Host) (Part, error) { return p, nil },
		}))
	}
	is.True(timer.Wait(timer.Real{}, 20*time.Millisecond, shutdown))
	close(ending.end)
	<-shutdown
	err = h.Stop()
	is.True(errors.Is(err, ending.err))
	is.True(strings.Contains(err.Error(), "listener"))
	is.NoErr(j.Flush())
	is.Equal(strings.Count(out.String(), "a part of the process ended"), 1)
	is.True(strings.Contains(out.String(), "part=listener"))
}

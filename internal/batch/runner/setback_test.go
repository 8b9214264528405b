package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Guards against an item that ends one engine after the other as fast as they come back,
// and against others of its batch that wait behind it.
func TestItemThatEndsEnginesIsPutOff(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	b := newBench(t, func(_ context.Context, u *catalog.Upstream, g Generation, emit func(Event) error) error {
		if g.Item.ID == "bad" {
			runs.Add(1)
			return engine.ErrCut
		}
		return events(0, 1, 5, emit)
	})
	is.NoErr(b.submit("bad", "good"))
	is.Equal(len(b.results(1)), 1)
	begun := b.clock.Now()
	is.True(until(func() bool { return b.clock.Now().Sub(begun) >= 20*time.Second }))
	is.True(runs.Load() <= 4+20/4+2)
	is.True(runs.Load() >= 4) // never for as long as a step may miss it
}

// Guards against an item that is put off as its engines are lost one after the other, though
// it got on at each.
func TestItemThatGetsOnIsNotPutOff(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ context.Context, _ *catalog.Upstream, g Generation, emit func(Event) error) error {
		if g.After == 9 {
			return events(9, 10, 5, emit)
		}
		if err := events(g.After, g.After+1, 5, emit); err != nil {
			return err
		}
		return engine.ErrBroken
	})
	is.NoErr(b.submit("x"))
	begun := b.clock.Now()
	got := b.results(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].State, submission.Completed)
	is.True(b.clock.Now().Sub(begun) < 2*time.Second)
}

// Guards against a wait without end, and against one for a single loss.
func TestSetback(t *testing.T) {
	is := is.New(t)
	var s setback
	now := timer.Instant(time.Hour)
	for range freeLosses {
		s.lost(now)
		is.True(s.ready(now))
	}
	for _, wait := range []time.Duration{putOffFirst, 2 * putOffFirst, 4 * putOffFirst, putOffMost, putOffMost} {
		s.lost(now)
		is.True(!s.ready(now.Add(wait - time.Millisecond)))
		is.True(s.ready(now.Add(wait)))
	}
	s.gotOn()
	s.lost(now)
	is.True(s.ready(now))
}

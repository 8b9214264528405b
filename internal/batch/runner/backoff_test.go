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

// Guards against an item that crashes one engine after the other as fast as they
// come back, and against other items of its batch that have to wait behind it.
func TestItemThatCrashesEnginesIsDelayed(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	b := newTestBench(t, func(_ context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if attempt.Item.ID == "bad" {
			runs.Add(1)
			return engine.ErrConnectionLost
		}
		return emitEvents(0, 1, 5, emit)
	})
	is.NoErr(b.submit("bad", "good"))
	is.Equal(len(b.waitForResults(1)), 1)
	start := b.clock.Now()
	is.True(eventually(func() bool { return b.clock.Now().Sub(start) >= 20*time.Second }))
	is.True(runs.Load() <= 4+20/4+2)
	is.True(runs.Load() >= 4) // never delayed for so long that a step would lack it
}

// Guards against an item that is delayed because it lost one engine after the
// other, although it made progress at each.
func TestItemWithProgressIsNotDelayed(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if attempt.After == 9 {
			return emitEvents(9, 10, 5, emit)
		}
		if err := emitEvents(attempt.After, attempt.After+1, 5, emit); err != nil {
			return err
		}
		return engine.ErrIncompleteResponse
	})
	is.NoErr(b.submit("x"))
	start := b.clock.Now()
	got := b.waitForResults(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].State, submission.Completed)
	is.True(b.clock.Now().Sub(start) < 2*time.Second)
}

// Guards against a delay that grows without limit, and against one after a single
// loss.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	var s backoff
	now := timer.Instant(time.Hour)
	for range toleratedLosses {
		s.engineLost(now)
		is.True(s.ready(now))
	}
	for _, wait := range []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff, maxBackoff, maxBackoff} {
		s.engineLost(now)
		is.True(!s.ready(now.Add(wait - time.Millisecond)))
		is.True(s.ready(now.Add(wait)))
	}
	s.reset()
	s.engineLost(now)
	is.True(s.ready(now))
}

// Guards against an item that is placed long after the engines that crashed under it are back, or never.
func TestItemIsPlacedAfterCrashes(t *testing.T) {
	is := is.New(t)
	for _, lost := range []error{engine.ErrConnectionLost, engine.ErrNotSent} {
		for _, until := range []time.Duration{time.Second, 6 * time.Second, 18 * time.Second} {
			var b *testBench
			ready := make(chan struct{})
			b = newTestBench(t, func(_ context.Context, _ *catalog.Upstream, _ Attempt, emit func(Event) error) error {
				<-ready
				if b.clock.Now() < timer.Instant(until) {
					return lost
				}
				return emitEvents(0, 1, 5, emit)
			})
			close(ready)
			// As an instance does, which readmits engines if too many are ejected.
			stop := make(chan struct{})
			go func() {
				for timer.Wait(b.clock, time.Second, stop) {
					b.runner.Upstreams.DetectOutliers(b.clock.Now())
				}
			}()
			is.NoErr(b.submit("x"))
			is.Equal(len(b.waitForResults(1)), 1)
			close(stop)
			took := b.clock.Now().Sub(timer.Instant(until))
			t.Logf("%v until %s: listed %s later", lost, until, took)
			is.True(took < owedWithin)
		}
	}
}

package evacuation_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/evacuation"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// Guards against a process that continues after a pause and sends requests to a domain that was
// evacuated meanwhile, and against one that sends none for good because the store is away.
func TestRequestsAreWithheldAfterPause(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	var reads, failing atomic.Int32
	proceed := make(chan struct{})
	g := &evacuation.PauseGuard{
		Limit: time.Second,
		Timer: clock,
		Refresh: func(context.Context) error {
			reads.Add(1)
			if failing.Load() > 0 {
				return errors.New("away")
			}
			<-proceed
			return nil
		},
	}
	var running tomb.Tomb
	running.Go(func() error { return g.Run(&running) })
	defer func() {
		running.Kill(nil)
		_ = running.Wait()
	}()
	eventually := func(holds func() bool) bool {
		return timer.Poll(timer.Real{}, 5*time.Millisecond, 10*time.Second, nil, holds)
	}
	is.True(eventually(func() bool { return g.Check() == nil }))
	clock.Advance(time.Minute)
	is.True(errors.Is(g.Check(), engine.ErrWithdrawn)) // before anything else has run
	is.True(eventually(func() bool { return reads.Load() == 1 }))
	is.True(errors.Is(g.Check(), engine.ErrWithdrawn)) // until the set is read
	close(proceed)
	is.True(eventually(func() bool { return g.Check() == nil }))

	failing.Store(1)
	clock.Advance(time.Minute)
	is.True(eventually(func() bool {
		clock.Advance(50 * time.Millisecond) // the pauses between the attempts
		return g.Check() == nil && reads.Load() > 2
	}))
}

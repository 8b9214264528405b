package runner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/slowstart"
)

// Guards against two items that are sent to a cold engine with one permit, and against items that
// are sent to one without a share.
func TestColdEngineGetsOneItemPerPermit(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	sent := make(map[string][]timer.Instant)
	var clock *timer.Manual
	b := newTestBench(t, func(_ context.Context, u *catalog.Upstream, _ Attempt, emit func(Event) error) error {
		mu.Lock()
		sent[u.ID] = append(sent[u.ID], clock.Now())
		mu.Unlock()
		return emitEvents(0, 2, 5, emit)
	})
	clock = b.clock
	services := map[string]catalog.Service{"s": {Name: "s", ColdStart: time.Hour, ColdRate: 4}}
	config := *b.runner.Configuration.Current()
	config.Version++
	config.Services = services
	b.runner.Configuration.Update(config.WithIndex())
	b.runner.SlowStart = &slowstart.Limiter{Config: b.runner.Configuration, Timer: b.clock, Overage: 1.5, Slack: 5}
	b.runner.Upstreams.SetServices(services)
	now := b.clock.Now()
	engines := b.runner.Upstreams.Group("s").Upstreams
	for _, u := range engines {
		u.RecordColdness(time.Hour, now, now)
	}
	engines[0].GrantShare(0, now)
	is.NoErr(b.submit("x", "y", "z"))
	is.Equal(len(b.waitForResults(3)), 3)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(sent["one"]), 3)
	is.Equal(len(sent["two"]), 0)
	is.True(engines[1].ShareWanted())
	is.True(sent["one"][2].Sub(now) >= 1500*time.Millisecond)
}

// Guards against an attempt that was withdrawn before it was written and counts as a failure of
// the item, which would end dead, or of its engine, which would be ejected.
func TestWithdrawnItemRunsElsewhere(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	withdrawn := 0
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, _ Attempt, emit func(Event) error) error {
		mu.Lock()
		defer mu.Unlock()
		if withdrawn < 20 {
			withdrawn++
			return engine.ErrWithdrawn
		}
		return emitEvents(0, 2, 5, emit)
	})
	is.NoErr(b.submit("x"))
	is.Equal(len(b.waitForResults(1)), 1)
	for _, u := range b.runner.Upstreams.Group("s").Upstreams {
		is.True(!u.Ejected(b.clock.Now()))
		is.True(!u.BackingOff(b.clock.Now()))
	}
}

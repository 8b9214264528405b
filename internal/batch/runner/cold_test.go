package runner

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/slowstart"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// makeCold gives the service of the engines a slow start, and returns the engines.
func (b *testBench) makeCold() []*catalog.Upstream {
	services := map[string]catalog.Service{"s": {Name: "s", ColdStart: time.Hour, ColdRate: 4}}
	config := *b.runner.Configuration.Current()
	config.Version++
	config.Services = services
	b.runner.Configuration.Update(config.WithIndex())
	b.runner.SlowStart = &slowstart.Limiter{Config: b.runner.Configuration, Timer: b.clock, Overage: 1.5, Slack: 5}
	b.runner.Upstreams.SetServices(services)
	return b.runner.Upstreams.Group("s").Upstreams
}

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
	engines := b.makeCold()
	now := b.clock.Now()
	for _, u := range engines {
		u.RecordColdness(time.Hour, now, now)
	}
	is.Equal(freeSlots(engines[0], now), 0.0)
	engines[0].GrantShare(0, now)
	is.Equal(freeSlots(engines[0], now), 1.0)
	is.NoErr(b.submit("x", "y", "z"))
	is.Equal(len(b.waitForResults(3)), 3)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(sent["one"]), 3)
	is.Equal(len(sent["two"]), 0)
	is.True(engines[1].ShareWanted())
	is.True(sent["one"][2].Sub(now) >= 1500*time.Millisecond)
	mu.Unlock()

	engines[1].GrantShare(3, now) // there are three shares by now, so that it gives no permit
	other := b.newSubmission("v", "w")
	other.ID = "other"
	is.NoErr(b.runner.Submit(context.Background(), other, b.route))
	is.True(eventually(func() bool {
		page, err := b.runner.Read(context.Background(), "other", 0, 0)
		return err == nil && len(page.Results) == 2
	}))
	mu.Lock()
	is.Equal(len(sent["two"]), 0)
}

// Guards against an attempt whose permit is not checked when it is written, and against one that was
// withdrawn and counts as a failure of the item, which would end dead, or of its engine, which
// would be ejected.
func TestWithdrawnItemRunsElsewhere(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	var mu sync.Mutex
	var b *testBench
	withdrawn, ejected := 0, false
	b = newTestBench(t, func(ctx context.Context, u *catalog.Upstream, _ Attempt, emit func(Event) error) error {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range b.runner.Upstreams.Group("s").Upstreams {
			ejected = ejected || e.Ejected(b.clock.Now())
		}
		if withdrawn == 20 {
			return emitEvents(0, 2, 5, emit)
		}
		withdrawn++
		u.ConnectionLost(b.clock.Now())
		defer u.EndColdness()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		if err != nil {
			return err
		}
		var c wire.Client
		defer c.CloseIdle()
		res, _, err := c.Do(req, wire.Pooled)
		if err == nil {
			_ = res.Body.Close()
			return engine.ErrUnservable
		}
		return err
	})
	b.makeCold()
	is.NoErr(b.submit("x"))
	got := b.waitForResults(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].State, submission.Completed)
	mu.Lock()
	defer mu.Unlock()
	is.True(!ejected)
}

// Guards against a running stream that is moved because its engine is cold and takes no further
// requests.
func TestStreamStaysAtColdEngine(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, nil)
	u := b.makeCold()[0]
	now := b.clock.Now().Add(time.Second)
	b.runner.reading.Record(1000, time.Second)
	tk := &task{item: &submission.Item{}, upstream: u, promptMark: u.SendPrompt(1000)}
	reading := b.runner.progressOf(tk, 0, 0, now).Reading
	is.True(reading > 0)
	u.RecordColdness(time.Hour, now, now)
	is.Equal(b.runner.progressOf(tk, 0, 0, now).Reading, reading)
}

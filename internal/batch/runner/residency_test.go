package runner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// restrict puts a configuration in force whose route has the given region.
func (b *testBench) restrict(version uint64, region string) *catalog.Configuration {
	route := b.route
	route.Regions = residency.FromList([]string{region})
	cfg := catalog.Configuration{Version: version, Routes: []catalog.Route{route}}.WithIndex()
	b.runner.Configuration.Update(cfg)
	return cfg
}

// Guards against a stream that goes on at an engine in a region that a new configuration does
// not allow, while an engine in an allowed one is free.
func TestStreamLeavesRegionThatIsNoLongerAllowed(t *testing.T) {
	is := is.New(t)
	engines := make(chan string, 10)
	var b *testBench
	b = newTestBench(t, func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		engines <- u.ID
		if u.ID == "two" {
			return emitEvents(attempt.After, attempt.After+3, 5, emit)
		}
		for n := 0; emitEvents(n, n+1, 5, emit) == nil; n++ {
			timer.Wait(b.clock, 50*time.Millisecond, ctx.Done())
		}
		return ctx.Err()
	})
	b.runner.Upstreams.Update([]catalog.Entry{
		{ID: "one", Service: "s", Address: "one", Slots: 2, Versions: map[string]uint64{"m": 5}, Region: "north"},
		{ID: "two", Service: "s", Address: "two", Slots: 2, Versions: map[string]uint64{"m": 5}, Region: "south"},
	}, nil)
	sub := b.newSubmission("x")
	sub.Bind(b.restrict(2, "north"))
	is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
	is.Equal(<-engines, "one")
	b.restrict(3, "south")
	is.Equal(<-engines, "two")
	is.Equal(len(b.waitForResults(1)), 1)
}

package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Guards against a decision on a request that collects or sorts the upstreams of its service:
// 358 kB of garbage at 10,000 upstreams.
func TestDecisionDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	upstreams := &catalog.Upstreams{Timer: timer.Real{}}
	var entries []catalog.Entry
	for i := range 2000 {
		entries = append(entries, catalog.Entry{ID: fmt.Sprintf("u%04d", i), Service: "s", Slots: 6})
	}
	upstreams.Update(entries, nil)
	d := &dispatch{
		f: &Forwarder{
			Upstreams: upstreams,
			Timer:     timer.Real{},
		},
		req: Request{
			Route: catalog.Route{Kind: catalog.Idempotent},
		},
		group: upstreams.Group("s"),
	}
	for _, u := range d.group.Upstreams {
		u.Begin()
		u.Succeeded(20 * time.Millisecond)
	}
	is.True(d.hedgeDelay() > 0)
	is.Equal(testing.AllocsPerRun(100, func() {
		if d.chooseUpstream() == nil || d.hedgeDelay() == 0 {
			t.Fatal("no upstream")
		}
	}), 0.0)
}

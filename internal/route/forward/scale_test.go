package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// BenchmarkChoose measures the decision on a request: the choice of an upstream, with no and with
// eight idle connections, and the delay of the second attempt.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{1_000, 10_000} {
		for _, idle := range []int{0, 8} {
			b.Run(fmt.Sprintf("%d/idle=%d", size, idle), func(b *testing.B) {
				upstreams := &catalog.Upstreams{Timer: timer.Real{}}
				entries := make([]catalog.Entry, size)
				for i := range entries {
					entries[i] = catalog.Entry{
						ID:      fmt.Sprintf("upstream-%05d", i),
						Service: "s",
						Slots:   6,
					}
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
				now := timer.Real{}.Now()
				for i, u := range d.group.Upstreams {
					u.Begin()
					u.Succeeded(time.Duration(20+i%11) * time.Millisecond)
					if i < idle {
						u.ConnectionIdle(now, time.Hour)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					if d.chooseUpstream() == nil || d.hedgeDelay() == 0 {
						b.Fatal("no upstream")
					}
				}
			})
		}
	}
}

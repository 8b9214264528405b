package upstream_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/listing"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/roster"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// newFleetState returns the members and the listed upstreams of a fleet, as one instance knows
// them.
func newFleetState(instances, upstreams int) (*member.Table, *listing.Table) {
	state := &gossip.State{}
	table := &member.Table{
		State: state,
		Timer: &timer.Manual{},
	}
	for i := range instances {
		m := member.Member{
			ID:            fmt.Sprintf("mechelen-a-%d", i),
			Incarnation:   1700000000000,
			Address:       "10.100.100.100:7100",
			PeerAddress:   "10.100.100.100:7200",
			Region:        "be-flanders",
			FailureDomain: fmt.Sprintf("mechelen-%d", i%11),
		}
		if i == 0 {
			table.Join(m)
			continue
		}
		state.Merge(m.Entry(0))
	}
	listed := &listing.Table{
		State: state,
	}
	for i := range upstreams {
		listed.Upsert(roster.Instance{
			ID:            fmt.Sprintf("sampler-%d", i),
			Group:         "sampler",
			Address:       "10.100.100.100:8000",
			FailureDomain: fmt.Sprintf("mechelen-%d", i%11),
			Incarnation:   1700000000000,
		})
	}
	return table, listed
}

var sizes = []struct{ instances, upstreams int }{
	{20, 20},
	{180, 1000},
	{1100, 10000},
}

// BenchmarkRebuild measures the cost of one change of the instance list.
func BenchmarkRebuild(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d_%d", size.instances, size.upstreams), func(b *testing.B) {
			members, listed := newFleetState(size.instances, size.upstreams)
			cfg := &configuration.Configuration{
				Deployments: []configuration.Deployment{{
					Name:       "m",
					Group:      "sampler",
					SubsetSize: 64,
				}},
			}
			var table upstream.Table
			b.ReportAllocs()
			for b.Loop() {
				table.Build(cfg, members.Self(), listed.List(), timer.Instant(time.Hour))
			}
		})
	}
}

// BenchmarkView measures the cost of one membership change.
func BenchmarkView(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size.instances), func(b *testing.B) {
			members, _ := newFleetState(size.instances, 0)
			sequence := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				m := member.Member{
					ID:          "mechelen-a-1",
					Incarnation: 1700000000000,
					Sequence:    sequence,
				}
				members.State.Merge(m.Entry(0))
				members.View()
			}
		})
	}
}

// BenchmarkState measures the memory used by the members and the listed upstreams.
func BenchmarkState(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d_%d", size.instances, size.upstreams), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			members, listed := newFleetState(size.instances, size.upstreams)
			members.View()
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				runtime.KeepAlive(listed)
				runtime.KeepAlive(members)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		})
	}
}

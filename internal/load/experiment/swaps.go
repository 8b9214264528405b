package experiment

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/load/fleet"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// lookPeriod is how often engines are asked for their versions.
const lookPeriod = 25 * time.Millisecond

// swaps measures the time from the publishing of a version until the last
// engine has it or a later one.
type swaps struct {
	timer timer.Service

	mu   sync.Mutex
	open map[version.Version]timer.Instant
	took []float64
}

func (s *swaps) published(v version.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[version.Version]timer.Instant)
	}
	s.open[v] = s.timer.Now()
}

// watch asks the engines until ctx ends.
func (s *swaps) watch(ctx context.Context, f *fleet.Fleet) {
	tick := s.timer.Every(lookPeriod)
	defer tick.Close()
	for {
		select {
		case <-tick.C:
			s.look(f)
		case <-ctx.Done():
			return
		}
	}
}

// look closes the versions that every engine has.
func (s *swaps) look(f *fleet.Fleet) {
	var oldest version.Version
	first := true
	for _, p := range f.Upstreams {
		var report engine.LoadReport
		if get(p.Address, engine.PathLoad, &report) != nil || report.Version.IsZero() {
			continue
		}
		if first || report.Version.Less(oldest) {
			oldest, first = report.Version, false
		}
	}
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for v, at := range s.open {
		if !first && !oldest.Less(v) {
			s.took = append(s.took, now.Sub(at).Seconds())
			delete(s.open, v)
		}
	}
}

// report returns the median and the longest time in seconds.
func (s *swaps) report() (p50, most float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.took) == 0 {
		return 0, 0
	}
	sort.Float64s(s.took)
	return s.took[len(s.took)/2], s.took[len(s.took)-1]
}

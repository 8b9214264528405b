package experiment

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/load/localfleet"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// pollInterval is how often engines are asked for their weight version.
const pollInterval = 25 * time.Millisecond

// swapTracker measures the time from publishing a weight version until every
// engine that answers has it or a later one.
type swapTracker struct {
	timer timer.Service

	mu sync.Mutex
	// pending maps versions that some engine still lacks to the time they were
	// published.
	pending map[version.Version]timer.Instant
	// durations are in seconds.
	durations []float64
}

// recordPublished starts the measurement for v.
func (s *swapTracker) recordPublished(v version.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = make(map[version.Version]timer.Instant)
	}
	s.pending[v] = s.timer.Now()
}

// pollUntilDone polls the engines every pollInterval until ctx ends.
func (s *swapTracker) pollUntilDone(ctx context.Context, f *localfleet.Fleet) {
	tick := s.timer.Every(pollInterval)
	defer tick.Close()
	for {
		select {
		case <-tick.C:
			s.poll(f)
		case <-ctx.Done():
			return
		}
	}
}

// poll asks every engine for its version and completes the measurements of
// versions that all engines have reached. Upstreams that don't answer or report no
// version are skipped.
func (s *swapTracker) poll(f *localfleet.Fleet) {
	var oldest version.Version
	first := true
	for _, p := range f.Upstreams {
		var report engine.LoadReport
		if getJSON(p.Address, engine.PathLoad, &report) != nil || report.Version.IsZero() {
			continue
		}
		if first || report.Version.Less(oldest) {
			oldest, first = report.Version, false
		}
	}
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for v, publishedAt := range s.pending {
		if !first && !oldest.Less(v) {
			s.durations = append(s.durations, now.Sub(publishedAt).Seconds())
			delete(s.pending, v)
		}
	}
}

// medianAndLongest returns the median and the longest duration in seconds, or
// zeros if no measurement was completed.
func (s *swapTracker) medianAndLongest() (median, longest float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.durations) == 0 {
		return 0, 0
	}
	sort.Float64s(s.durations)
	return s.durations[len(s.durations)/2], s.durations[len(s.durations)-1]
}

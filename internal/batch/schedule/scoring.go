package schedule

import (
	"sync"
	"time"
)

const (
	// scoringWeight is the part of a new reward call in what is usual.
	scoringWeight = 1.0 / 16
	// scoringRest is the part of the usual time that a call which has taken as long
	// already is expected to need still: few take much longer.
	scoringRest = 1.0 / 3
)

// Scoring learns how long reward calls take. Its zero value knows nothing.
type Scoring struct {
	mu    sync.Mutex
	usual time.Duration
}

// Took notes a reward call that was answered.
func (s *Scoring) Took(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usual == 0 {
		s.usual = d
		return
	}
	s.usual += time.Duration(scoringWeight * float64(d-s.usual))
}

// Left returns how much longer a call is expected to take that was sent some time ago, 0
// if nothing is known.
func (s *Scoring) Left(elapsed time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.usual-elapsed, time.Duration(scoringRest*float64(s.usual)))
}

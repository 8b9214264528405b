package schedule

import (
	"sync"
	"time"
)

// Parameters of ScoringTime.
const (
	// scoringWeight is the weight of a new reward call in the moving average.
	scoringWeight = 1.0 / 16
	// scoringTailShare is the least share of the average duration that an unanswered
	// call is expected to need still, even if it has taken that long already: few calls
	// take much longer.
	scoringTailShare = 1.0 / 3
)

// ScoringTime learns how long reward calls take. The zero value is empty and ready to use.
type ScoringTime struct {
	mu      sync.Mutex
	average time.Duration
}

// Record records the duration of an answered reward call.
func (s *ScoringTime) Record(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.average == 0 {
		s.average = d
		return
	}
	s.average += time.Duration(scoringWeight * float64(d-s.average))
}

// Left returns how much longer a reward call that was sent the given time ago is expected
// to take, 0 if no call was recorded yet.
func (s *ScoringTime) Left(elapsed time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.average-elapsed, time.Duration(scoringTailShare*float64(s.average)))
}

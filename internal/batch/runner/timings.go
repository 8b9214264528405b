package runner

import (
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// stallFactor is how many times longer than the median a pause between two events
// must be to count as a stall.
const stallFactor = 3

// timings records how the time of an item was spent, so that the log explains why
// a step was late: the item that ended it waited, ran slowly, stalled or was
// generated again. The batch's lock guards it.
type timings struct {
	// lapStart is when the current lap began.
	lapStart timer.Instant
	// waited is the time in the queue, ran the time at engines, and scored the
	// time of the reward call; stalled is the part of ran that was lost in pauses
	// between events.
	waited, ran, stalled, scored time.Duration
	// regenerated is how many events were dropped and generated again, restored
	// how many an earlier owner had generated.
	regenerated, restored int
}

// lap returns the time since the last lap ended and begins a new one.
func (s *timings) lap(now timer.Instant) time.Duration {
	d := now.Sub(s.lapStart)
	s.lapStart = now
	return d
}

// addPause counts a pause between two events if it is much longer than usual.
func (s *timings) addPause(pause, medianPace time.Duration) {
	if medianPace > 0 && pause > stallFactor*medianPace {
		s.stalled += pause - medianPace
	}
}

// addFields adds the timings to the fields of a log line.
func (s *timings) addFields(fields log.Fields) {
	fields["waited_ms"] = s.waited.Milliseconds()
	fields["ran_ms"] = s.ran.Milliseconds()
	fields["stood_ms"] = s.stalled.Milliseconds()
	fields["scored_ms"] = s.scored.Milliseconds()
	fields["remade"] = s.regenerated
	fields["restored"] = s.restored
}

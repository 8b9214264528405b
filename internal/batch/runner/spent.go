package runner

import (
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// stillFactor is how many usual event times a stream must be silent to count as
// standing still.
const stillFactor = 3

// spent is how the time of an item went by, so that a late step can be explained
// from the log: the item that ended it waited, ran slowly, stood still or was
// made again. Its batch's lock guards it.
type spent struct {
	since timer.Instant
	// waited is the time in the queue, ran at engines, and scored at the reward
	// call; stood is the part of ran without any event.
	waited, ran, stood, scored time.Duration
	// remade is how many events were dropped and made again, restored how many an
	// earlier owner had made.
	remade, restored int
}

// lap returns the time since the last one.
func (s *spent) lap(now timer.Instant) time.Duration {
	d := now.Sub(s.since)
	s.since = now
	return d
}

// still counts a pause between two events that is much longer than usual.
func (s *spent) still(pause, usual time.Duration) {
	if usual > 0 && pause > stillFactor*usual {
		s.stood += pause - usual
	}
}

// addTo adds the parts to the fields of a line.
func (s *spent) addTo(fields log.Fields) {
	fields["waited_ms"] = s.waited.Milliseconds()
	fields["ran_ms"] = s.ran.Milliseconds()
	fields["stood_ms"] = s.stood.Milliseconds()
	fields["scored_ms"] = s.scored.Milliseconds()
	fields["remade"] = s.remade
	fields["restored"] = s.restored
}

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
func (t *timings) lap(now timer.Instant) time.Duration {
	d := now.Sub(t.lapStart)
	t.lapStart = now
	return d
}

// addPause counts a pause between two events if it is much longer than usual.
func (t *timings) addPause(pause, medianPace time.Duration) {
	if medianPace > 0 && pause > stallFactor*medianPace {
		t.stalled += pause - medianPace
	}
}

// addFields adds the timings to the fields of a log line.
func (t *timings) addFields(fields log.Fields) {
	fields["waited_ms"] = t.waited.Milliseconds()
	fields["ran_ms"] = t.ran.Milliseconds()
	fields["stood_ms"] = t.stalled.Milliseconds()
	fields["scored_ms"] = t.scored.Milliseconds()
	fields["remade"] = t.regenerated
	fields["restored"] = t.restored
}

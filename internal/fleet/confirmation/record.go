package confirmation

import (
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Record holds the last instant at which the configuration in force was known to be the
// newest one. The zero value holds none.
type Record struct {
	confirmedAt atomic.Int64
}

// Confirm records that the configuration was current at an instant. It never replaces a
// later instant.
func (r *Record) Confirm(confirmedAt timer.Instant) {
	for {
		old := r.confirmedAt.Load()
		if old >= int64(confirmedAt) || r.confirmedAt.CompareAndSwap(old, int64(confirmedAt)) {
			return
		}
	}
}

// Age returns how long ago the configuration was last known to be current; ok is false
// if it never was. Callers must read the age before the configuration: in the other
// order, the configuration could be replaced between the two reads.
func (r *Record) Age(now timer.Instant) (age time.Duration, ok bool) {
	confirmedAt := r.confirmedAt.Load()
	return now.Sub(timer.Instant(confirmedAt)), confirmedAt != 0
}

// Within reports whether the configuration was known to be current less than bound ago.
func (r *Record) Within(now timer.Instant, bound time.Duration) bool {
	age, ok := r.Age(now)
	return ok && age < bound
}

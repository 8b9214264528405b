package confirmation

import (
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Record is the last moment at which the configuration in force was surely the
// newest one. Its zero value has none.
type Record struct {
	at atomic.Int64
}

// Confirm notes that the configuration was current at an instant.
func (r *Record) Confirm(at timer.Instant) {
	for {
		old := r.at.Load()
		if old >= int64(at) || r.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Age returns how long ago the configuration was last current; ok is false if it
// never was. It is read before the configuration is: the other way round, a
// configuration could be replaced between the two.
func (r *Record) Age(now timer.Instant) (age time.Duration, ok bool) {
	at := r.at.Load()
	return now.Sub(timer.Instant(at)), at != 0
}

// Within reports whether the configuration was current within a time.
func (r *Record) Within(now timer.Instant, bound time.Duration) bool {
	age, ok := r.Age(now)
	return ok && age < bound
}

package coordinator

import (
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// recentTTL is how long an entry is kept after it was last set or looked up. The ledger has what is
// not kept.
const recentTTL = 3 * time.Minute

// recent is a map whose entries are forgotten when they were not used for recentTTL. Its zero value is
// empty.
type recent[V any] struct {
	entries  map[string]recentEntry[V]
	prunedAt timer.Instant
}

type recentEntry[V any] struct {
	value V
	used  timer.Instant
}

// set sets the value of a key.
func (r *recent[V]) set(key string, value V, now timer.Instant) {
	if r.entries == nil {
		r.entries = make(map[string]recentEntry[V])
	}
	r.entries[key] = recentEntry[V]{
		value: value,
		used:  now,
	}
	if now.Sub(r.prunedAt) > recentTTL/2 {
		r.prunedAt = now
		for k, e := range r.entries {
			if now.Sub(e.used) > recentTTL {
				delete(r.entries, k)
			}
		}
	}
}

// get returns the value of a key, and whether there is one.
func (r *recent[V]) get(key string, now timer.Instant) (V, bool) {
	e, ok := r.entries[key]
	if ok {
		e.used = now
		r.entries[key] = e
	}
	return e.value, ok
}

// remove removes a key.
func (r *recent[V]) remove(key string) { delete(r.entries, key) }

package watchrelay

import (
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// ServiceName is the name of a Source that is the key-value service itself.
const ServiceName = "key-value service"

// Source tells from whom this instance has what it knows below a prefix. The zero value means that
// nothing was read yet.
type Source struct {
	// Name is the name of the watcher that answered last, or ServiceName.
	Name string
	// AnsweredAt is when it answered.
	AnsweredAt timer.Instant
	// HeardAt is when the service was last heard about the prefix, by this instance or by
	// the watcher.
	HeardAt timer.Instant
}

// sources holds the last source of each prefix.
type sources struct {
	mu       sync.Mutex
	byPrefix map[string]Source
}

// record replaces the source of a prefix.
func (s *sources) record(prefix string, source Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPrefix == nil {
		s.byPrefix = make(map[string]Source)
	}
	s.byPrefix[prefix] = source
}

// of returns the last source of a prefix.
func (s *sources) of(prefix string) Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byPrefix[prefix]
}

// Source returns from whom this instance last read a copied prefix.
func (r *Relay) Source(prefix string) Source { return r.sources.of(prefix) }

// NoteService records that the service itself answered just now.
func (r *Relay) NoteService(prefix string) {
	now := r.Timer.Now()
	r.sources.record(prefix, Source{
		Name:       ServiceName,
		AnsweredAt: now,
		HeardAt:    now,
	})
}

// noteWatcher records the answer of a watcher to a call that was sent at an instant. heard has, by
// prefix, the time from the arrival of the call to the instant at which the watcher last heard from
// the service.
func (r *Relay) noteWatcher(name string, sent timer.Instant, heard map[string]time.Duration) {
	now := r.Timer.Now()
	for prefix, lead := range heard {
		r.sources.record(prefix, Source{
			Name:       name,
			AnsweredAt: now,
			HeardAt:    sent.Add(lead),
		})
	}
}

// heardLeads returns, for each of the given prefixes that was read, the time from an instant to the
// one at which the service was last heard about it.
func (r *Relay) heardLeads(after map[string]uint64, arrived timer.Instant) map[string]time.Duration {
	leads := make(map[string]time.Duration, len(after))
	for prefix := range after {
		if s := r.Source(prefix); s.HeardAt != 0 {
			leads[prefix] = s.HeardAt.Sub(arrived)
		}
	}
	return leads
}

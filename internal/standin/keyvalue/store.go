package keyvalue

import (
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// maxValue is the largest value that the platform's service holds.
const maxValue = 1 << 20

// store is the state of the service.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]keyvalue.Item
	older    map[string]keyvalue.Item
	leases   map[uint64]*granted
	nextID   uint64
	changed  chan struct{}
}

type granted struct {
	ttl   time.Duration
	until timer.Instant
}

func (s *store) prepare() {
	if s.items != nil {
		return
	}
	s.items = make(map[string]keyvalue.Item)
	s.older = make(map[string]keyvalue.Item)
	s.leases = make(map[uint64]*granted)
	s.changed = make(chan struct{})
}

// expire ends leases that ran out, with their items.
func (s *store) expire(now timer.Instant) {
	for id, l := range s.leases {
		if now >= l.until {
			s.end(id)
		}
	}
}

func (s *store) end(lease uint64) {
	delete(s.leases, lease)
	for key, item := range s.items {
		if item.Lease == lease {
			s.revision++
			delete(s.items, key)
		}
	}
}

func (s *store) get(key string, stale bool) (keyvalue.Item, keyvalue.Fault) {
	if old, ok := s.older[key]; stale && ok {
		return old, keyvalue.FaultNone
	}
	item, ok := s.items[key]
	if !ok {
		return keyvalue.Item{
			Key: key,
		}, keyvalue.FaultNotFound
	}
	return item, keyvalue.FaultNone
}

func (s *store) put(c keyvalue.Call) (keyvalue.Item, keyvalue.Fault) {
	old := s.items[c.Key]
	if old.Revision != c.Expect || len(c.Value) > maxValue {
		return old, keyvalue.FaultConflict
	}
	if _, ok := s.leases[c.Lease]; c.Lease != 0 && !ok {
		return old, keyvalue.FaultLeaseGone
	}
	s.revision++
	item := keyvalue.Item{
		Key:      c.Key,
		Value:    c.Value,
		Revision: s.revision,
		Lease:    c.Lease,
	}
	if old.Revision != 0 {
		s.older[c.Key] = old
	}
	s.items[c.Key] = item
	close(s.changed)
	s.changed = make(chan struct{})
	return item, keyvalue.FaultNone
}

func (s *store) grant(ttl time.Duration, now timer.Instant) uint64 {
	s.nextID++
	s.leases[s.nextID] = &granted{
		ttl:   ttl,
		until: now.Add(ttl),
	}
	return s.nextID
}

func (s *store) keepAlive(lease uint64, now timer.Instant) keyvalue.Fault {
	l, ok := s.leases[lease]
	if !ok {
		return keyvalue.FaultLeaseGone
	}
	l.until = now.Add(l.ttl)
	return keyvalue.FaultNone
}

package keyvalue

import (
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// maxValueBytes is the largest value that the platform's service accepts.
const maxValueBytes = 1 << 20

// store holds the items and leases of the service. Its methods are called with mu
// held.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]keyvalue.Item
	// previous holds the item before the last put of each key.
	previous    map[string]keyvalue.Item
	leases      map[uint64]*lease
	lastLeaseID uint64
	// changed is closed and replaced at each put.
	changed chan struct{}
}

// lease ends at expires unless it is extended by ttl.
type lease struct {
	ttl     time.Duration
	expires timer.Instant
}

// prepare creates the maps at the first call.
func (s *store) prepare() {
	if s.items != nil {
		return
	}
	s.items = make(map[string]keyvalue.Item)
	s.previous = make(map[string]keyvalue.Item)
	s.leases = make(map[uint64]*lease)
	s.changed = make(chan struct{})
}

// endExpiredLeases ends the leases that have expired, and deletes their items.
func (s *store) endExpiredLeases(now timer.Instant) {
	for id, l := range s.leases {
		if now >= l.expires {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and deletes its items.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

// get returns the item of key, or the one before its last put if stale is set.
func (s *store) get(key string, stale bool) (keyvalue.Item, keyvalue.ErrorCode) {
	if old, ok := s.previous[key]; stale && ok {
		return old, keyvalue.CodeNone
	}
	item, ok := s.items[key]
	if !ok {
		return keyvalue.Item{
			Key: key,
		}, keyvalue.CodeNotFound
	}
	return item, keyvalue.CodeNone
}

// put writes an item if its present revision is req.Expect and its lease exists.
// A value above maxValueBytes is refused as a conflict.
func (s *store) put(req keyvalue.Request) (keyvalue.Item, keyvalue.ErrorCode) {
	old := s.items[req.Key]
	if old.Revision != req.Expect || len(req.Value) > maxValueBytes {
		return old, keyvalue.CodeConflict
	}
	if _, ok := s.leases[req.Lease]; req.Lease != 0 && !ok {
		return old, keyvalue.CodeLeaseGone
	}
	s.revision++
	item := keyvalue.Item{
		Key:      req.Key,
		Value:    req.Value,
		Revision: s.revision,
		Lease:    req.Lease,
	}
	if old.Revision != 0 {
		s.previous[req.Key] = old
	}
	s.items[req.Key] = item
	close(s.changed)
	s.changed = make(chan struct{})
	return item, keyvalue.CodeNone
}

// grant creates a lease and returns its ID.
func (s *store) grant(ttl time.Duration, now timer.Instant) uint64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{
		ttl:     ttl,
		expires: now.Add(ttl),
	}
	return s.lastLeaseID
}

// keepAlive extends a lease by its TTL from now.
func (s *store) keepAlive(id uint64, now timer.Instant) keyvalue.ErrorCode {
	l, ok := s.leases[id]
	if !ok {
		return keyvalue.CodeLeaseGone
	}
	l.expires = now.Add(l.ttl)
	return keyvalue.CodeNone
}

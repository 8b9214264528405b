package space

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Call names an operation for Fault.
type Call string

// The operations.
const (
	Get       Call = "get"
	Range     Call = "range"
	Watch     Call = "watch"
	Commit    Call = "commit"
	Grant     Call = "grant"
	KeepAlive Call = "keep_alive"
	Revoke    Call = "revoke"
)

// Fault is what goes wrong with one call.
type Fault int

// The faults.
const (
	None Fault = iota
	// Down refuses the call; nothing is done.
	Down
	// LostBefore gives no answer, and nothing is done.
	LostBefore
	// LostAfter does the call and loses its answer.
	LostAfter
	// Late gives no answer, and does the call when Settle is called.
	Late
)

type lease struct {
	ttl  time.Duration
	ends timer.Instant
}

// Space is the stand-in. Its zero value with a Timer works.
type Space struct {
	Timer timer.Service
	// Fault decides what goes wrong with a call; nil is no fault ever. It is
	// called under the lock.
	Fault func(c Call) Fault

	mu        sync.Mutex
	revision  uint64
	items     map[string]keyvalue.Item
	history   []keyvalue.Change
	compacted uint64
	leases    map[uint64]*lease
	next      uint64
	late      []keyvalue.Transaction
	changed   chan struct{}
	calls     map[Call]int
}

// enter counts a call, ends leases that ran out, and returns what goes wrong.
// The lock is held.
func (s *Space) enter(c Call) Fault {
	if s.items == nil {
		s.items = make(map[string]keyvalue.Item)
		s.leases = make(map[uint64]*lease)
		s.calls = make(map[Call]int)
		s.revision = 1
	}
	s.calls[c]++
	now := s.Timer.Now()
	for id, l := range s.leases {
		if now >= l.ends {
			s.end(id)
		}
	}
	if s.Fault == nil {
		return None
	}
	return s.Fault(c)
}

// Calls returns how often an operation was called.
func (s *Space) Calls(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[c]
}

// Compact forgets the history.
func (s *Space) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// Settle carries out the calls that were late, in order, where their conditions
// still hold.
func (s *Space) Settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tx := range s.late {
		_, _ = s.apply(tx)
	}
	s.late = nil
}

// Lapse ends a lease at once, as if it had run out or been taken away.
func (s *Space) Lapse(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
}

// end removes a lease with its keys. The lock is held.
func (s *Space) end(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.wake()
}

// remove removes a key at the present revision. The lock is held.
func (s *Space) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, keyvalue.Change{
		Item: keyvalue.Item{
			Key:      key,
			Revision: s.revision,
		},
		Removed: true,
	})
}

// wake wakes all watches. The lock is held.
func (s *Space) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// lost is the error of a call without an answer.
func lost(f Fault) error {
	if f == Down {
		return keyvalue.ErrDown
	}
	return keyvalue.ErrLost
}

// Get implements keyvalue.Space.
func (s *Space) Get(_ context.Context, key string) (keyvalue.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.enter(Get); f != None {
		return keyvalue.Item{}, lost(f)
	}
	item, ok := s.items[key]
	if !ok {
		return keyvalue.Item{}, keyvalue.ErrNotFound
	}
	return item, nil
}

// Range implements keyvalue.Space.
func (s *Space) Range(_ context.Context, prefix string, _ keyvalue.Freshness) (keyvalue.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.enter(Range); f != None {
		return keyvalue.Listing{}, lost(f)
	}
	l := keyvalue.Listing{
		Revision: s.revision,
	}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			l.Items = append(l.Items, item)
		}
	}
	sort.Slice(l.Items, func(i, j int) bool { return l.Items[i].Key < l.Items[j].Key })
	return l, nil
}

// Watch implements keyvalue.Space.
func (s *Space) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	done := s.Timer.Once(wait)
	defer done.Close()
	for {
		s.mu.Lock()
		if f := s.enter(Watch); f != None {
			s.mu.Unlock()
			return nil, 0, lost(f)
		}
		if after < s.compacted {
			s.mu.Unlock()
			return nil, 0, keyvalue.ErrCompacted
		}
		var changes []keyvalue.Change
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
				changes = append(changes, c)
			}
		}
		revision := s.revision
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			return changes, revision, nil
		}
		select {
		case <-changed:
		case <-done.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, errors.Join(keyvalue.ErrLost, ctx.Err())
		}
	}
}

// Commit implements keyvalue.Space.
func (s *Space) Commit(_ context.Context, tx keyvalue.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.enter(Commit)
	switch f {
	case Down, LostBefore:
		return 0, lost(f)
	case Late:
		s.late = append(s.late, tx)
		return 0, keyvalue.ErrLost
	}
	rev, err := s.apply(tx)
	if f == LostAfter {
		return 0, keyvalue.ErrLost
	}
	return rev, err
}

// apply carries out a transaction. The lock is held.
func (s *Space) apply(tx keyvalue.Transaction) (uint64, error) {
	conflict := &keyvalue.ConflictError{}
	holds := true
	for _, e := range tx.Expects {
		item := s.items[e.Key]
		holds = holds && item.Revision == e.Revision
		item.Key = e.Key
		conflict.Items = append(conflict.Items, item)
	}
	if !holds {
		return 0, conflict
	}
	for _, w := range tx.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 0, keyvalue.ErrLeaseGone
		}
	}
	s.revision++
	for _, w := range tx.Writes {
		item := keyvalue.Item{
			Key:      w.Key,
			Value:    w.Value,
			Revision: s.revision,
			Lease:    w.Lease,
		}
		s.items[w.Key] = item
		s.history = append(s.history, keyvalue.Change{
			Item: item,
		})
	}
	for _, key := range tx.Removes {
		if _, ok := s.items[key]; ok {
			s.remove(key)
		}
	}
	s.wake()
	return s.revision, nil
}

// Grant implements keyvalue.Space.
func (s *Space) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.enter(Grant); f != None {
		return 0, lost(f)
	}
	s.next++
	s.leases[s.next] = &lease{
		ttl:  ttl,
		ends: s.Timer.Now().Add(ttl),
	}
	return s.next, nil
}

// KeepAlive implements keyvalue.Space.
func (s *Space) KeepAlive(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.enter(KeepAlive); f != None {
		return lost(f)
	}
	l := s.leases[id]
	if l == nil {
		return keyvalue.ErrLeaseGone
	}
	l.ends = s.Timer.Now().Add(l.ttl)
	return nil
}

// Revoke implements keyvalue.Space.
func (s *Space) Revoke(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.enter(Revoke); f != None {
		return lost(f)
	}
	s.end(id)
	return nil
}

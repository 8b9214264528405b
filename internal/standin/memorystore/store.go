package memorystore

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

// Operation is the name of an operation.
type Operation string

// The operations of a Store.
const (
	Get       Operation = "get"
	Range     Operation = "range"
	Watch     Operation = "watch"
	Commit    Operation = "commit"
	Grant     Operation = "grant"
	KeepAlive Operation = "keep_alive"
	Revoke    Operation = "revoke"
)

// Fault is the failure of one call.
type Fault int

// The faults of a call.
const (
	// None is a call without a failure.
	None Fault = iota
	// Down refuses the call; it has no effect.
	Down
	// LostBefore loses the call; it has no effect and no answer.
	LostBefore
	// LostAfter executes a Commit and loses its answer. Other operations have no
	// effect.
	LostAfter
	// Delayed loses the answer of a Commit, and executes it when ApplyDelayed is called.
	// Other operations have no effect.
	Delayed
)

// lease ends at expires unless it is extended by ttl.
type lease struct {
	ttl     time.Duration
	expires timer.Instant
}

// Store is an in-memory keyvalue.TransactionalStore. It needs a Timer.
type Store struct {
	Timer timer.Service
	// Fault selects the fault of a call; nil means no faults. It is called with
	// the lock of the Store held, so it must not call the Store.
	Fault func(op Operation) Fault

	mu       sync.Mutex
	revision uint64
	items    map[string]keyvalue.Item
	// history holds the changes after the revision compacted, the oldest first.
	history     []keyvalue.Change
	compacted   uint64
	leases      map[uint64]*lease
	lastLeaseID uint64
	// delayedCommits holds the transactions of delayed commits, in the order of their calls.
	delayedCommits []keyvalue.Transaction
	// changed is closed to wake the waiting watches; it is nil until a watch waits.
	changed chan struct{}
	calls   map[Operation]int
}

// beginCall counts a call, ends expired leases and returns the fault of the call.
// mu must be held.
func (s *Store) beginCall(op Operation) Fault {
	if s.items == nil {
		s.items = make(map[string]keyvalue.Item)
		s.leases = make(map[uint64]*lease)
		s.calls = make(map[Operation]int)
		s.revision = 1
	}
	s.calls[op]++
	now := s.Timer.Now()
	for id, l := range s.leases {
		if now >= l.expires {
			s.endLease(id)
		}
	}
	if s.Fault == nil {
		return None
	}
	return s.Fault(op)
}

// CallCount returns the number of calls of an operation. A watch counts again each
// time that it is woken.
func (s *Store) CallCount(op Operation) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}

// Compact discards the history; a watch from an earlier revision fails with
// keyvalue.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// ApplyDelayed executes the delayed commits in the order of their calls. A commit whose
// conditions no longer hold has no effect.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tx := range s.delayedCommits {
		_, _ = s.apply(tx)
	}
	s.delayedCommits = nil
}

// ExpireLease ends a lease at once, as if it had expired or been revoked.
func (s *Store) ExpireLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// endLease removes a lease and its keys. mu must be held.
func (s *Store) endLease(id uint64) {
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
	s.wakeWatches()
}

// remove removes a key at the current revision. mu must be held.
func (s *Store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, keyvalue.Change{
		Item: keyvalue.Item{
			Key:      key,
			Revision: s.revision,
		},
		Removed: true,
	})
}

// wakeWatches wakes all watches. mu must be held.
func (s *Store) wakeWatches() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// faultError returns the error of a call that failed with f.
func faultError(f Fault) error {
	if f == Down {
		return keyvalue.ErrUnavailable
	}
	return keyvalue.ErrOutcomeUnknown
}

// Get implements keyvalue.TransactionalStore.
func (s *Store) Get(_ context.Context, key string) (keyvalue.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.beginCall(Get); f != None {
		return keyvalue.Item{}, faultError(f)
	}
	item, ok := s.items[key]
	if !ok {
		return keyvalue.Item{}, keyvalue.ErrNotFound
	}
	return item, nil
}

// Range implements keyvalue.TransactionalStore.
func (s *Store) Range(_ context.Context, prefix string, _ keyvalue.Consistency) (keyvalue.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.beginCall(Range); f != None {
		return keyvalue.Listing{}, faultError(f)
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

// Watch implements keyvalue.TransactionalStore.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	done := s.Timer.Once(wait)
	defer done.Close()
	for {
		s.mu.Lock()
		if f := s.beginCall(Watch); f != None {
			s.mu.Unlock()
			return nil, 0, faultError(f)
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
			return nil, 0, errors.Join(keyvalue.ErrOutcomeUnknown, ctx.Err())
		}
	}
}

// Commit implements keyvalue.TransactionalStore.
func (s *Store) Commit(_ context.Context, tx keyvalue.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.beginCall(Commit)
	switch f {
	case Down, LostBefore:
		return 0, faultError(f)
	case Delayed:
		s.delayedCommits = append(s.delayedCommits, tx)
		return 0, keyvalue.ErrOutcomeUnknown
	}
	rev, err := s.apply(tx)
	if f == LostAfter {
		return 0, keyvalue.ErrOutcomeUnknown
	}
	return rev, err
}

// apply executes a transaction if its conditions hold. mu must be held.
func (s *Store) apply(tx keyvalue.Transaction) (uint64, error) {
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
	s.wakeWatches()
	return s.revision, nil
}

// Grant implements keyvalue.TransactionalStore.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.beginCall(Grant); f != None {
		return 0, faultError(f)
	}
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{
		ttl:     ttl,
		expires: s.Timer.Now().Add(ttl),
	}
	return s.lastLeaseID, nil
}

// KeepAlive implements keyvalue.TransactionalStore.
func (s *Store) KeepAlive(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.beginCall(KeepAlive); f != None {
		return faultError(f)
	}
	l := s.leases[id]
	if l == nil {
		return keyvalue.ErrLeaseGone
	}
	l.expires = s.Timer.Now().Add(l.ttl)
	return nil
}

// Revoke implements keyvalue.TransactionalStore.
func (s *Store) Revoke(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.beginCall(Revoke); f != None {
		return faultError(f)
	}
	s.endLease(id)
	return nil
}

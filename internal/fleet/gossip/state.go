package gossip

import (
	"sync"
	"sync/atomic"
)

// Buckets is the number of groups whose hashes two instances compare.
const Buckets = 64

// Digest holds a hash for each bucket.
type Digest [Buckets]uint64

// Transmissions is how often an instance passes on a fresh entry unasked. At
// two exchanges a second with both sides passing on, this reaches a thousand
// instances with near certainty; the digest catches the rest.
const Transmissions = 12

// State is what one instance knows. Its zero value is empty and works.
type State struct {
	mu      sync.Mutex
	entries map[entryKey]Entry
	counts  [kindCount]int
	digest  Digest
	hot     map[entryKey]int
	changes [kindCount]atomic.Uint64
	changed [kindCount]chan struct{}
	wake    chan struct{}
}

// Merge takes e if it is newer than what is known, and reports whether it was.
func (s *State) Merge(e Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merge(e)
}

// MergeAll takes all that is newer and returns it.
func (s *State) MergeAll(list []Entry) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []Entry
	for _, e := range list {
		if s.merge(e) {
			taken = append(taken, e)
		}
	}
	return taken
}

func (s *State) merge(e Entry) bool {
	if e.Kind == 0 || e.Kind >= kindCount {
		return false
	}
	s.prepare()
	old, ok := s.entries[e.id()]
	if ok && !old.Version.Less(e.Version) {
		return false
	}
	if ok {
		s.digest[old.bucket()] ^= old.hash()
	} else {
		s.counts[e.Kind]++
	}
	s.entries[e.id()] = e
	s.digest[e.bucket()] ^= e.hash()
	s.hot[e.id()] = Transmissions
	s.note(e.Kind)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

func (s *State) note(k Kind) {
	s.changes[k].Add(1)
	if s.changed[k] != nil {
		close(s.changed[k])
		s.changed[k] = nil
	}
}

// Changed returns a channel that is closed at the next change of one kind.
func (s *State) Changed(k Kind) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed[k] == nil {
		s.changed[k] = make(chan struct{})
	}
	return s.changed[k]
}

func (s *State) prepare() {
	if s.entries != nil {
		return
	}
	s.entries = make(map[entryKey]Entry)
	s.hot = make(map[entryKey]int)
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
}

// Wake returns a channel that fires when something new was merged.
func (s *State) Wake() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	return s.wake
}

// Changes counts the merges of one kind. A view that remembers the count
// knows when it must be built again.
func (s *State) Changes(k Kind) uint64 { return s.changes[k].Load() }

// Find returns the entry with this kind and key.
func (s *State) Find(k Kind, key string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[entryKey{
		kind: k,
		key:  key,
	}]
	return e, ok
}

// List returns all entries of one kind, in no order.
func (s *State) List(k Kind) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Entry, 0, s.counts[k])
	for id, e := range s.entries {
		if id.kind == k {
			list = append(list, e)
		}
	}
	return list
}

// Expire forgets the entries whose time was before now, in Unix seconds.
func (s *State) Expire(now int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, e := range s.entries {
		if e.Expires == 0 || e.Expires >= now {
			continue
		}
		s.digest[e.bucket()] ^= e.hash()
		delete(s.entries, id)
		s.counts[id.kind]--
		delete(s.hot, id)
		s.note(id.kind)
		n++
	}
	return n
}

// Digest returns the hashes of all buckets.
func (s *State) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

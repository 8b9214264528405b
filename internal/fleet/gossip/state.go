package gossip

import (
	"sync"
	"sync/atomic"
)

// Buckets is the number of buckets that entries are divided into by the hash of
// their key. Two instances compare one hash for each bucket.
const Buckets = 64

// Digest holds a hash for each bucket: the XOR of the hashes of its entries.
type Digest [Buckets]uint64

// Transmissions is how many times an instance sends a newly merged entry without
// being asked for it. With two exchanges a second in which both sides send, this
// reaches a thousand instances almost certainly; the comparison of digests
// delivers the entry to the rest.
const Transmissions = 12

// State holds the entries that one instance knows. Its zero value is empty and
// ready to use.
type State struct {
	mu          sync.Mutex
	entries     map[entryKey]Entry
	entryCounts [kindCount]int
	digest      Digest
	// transmissionsLeft counts, for each newly merged entry, how often it is still
	// to be sent unasked.
	transmissionsLeft map[entryKey]int
	changeCounts      [kindCount]atomic.Uint64
	// changeSignals holds the channels that Changed has returned and that are
	// still open.
	changeSignals [kindCount]chan struct{}
	wake          chan struct{}
}

// Merge stores e if its version is higher than that of the known entry, and
// reports whether it did.
func (s *State) Merge(e Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merge(e)
}

// MergeAll merges all entries of list, and returns those that were stored.
func (s *State) MergeAll(list []Entry) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored []Entry
	for _, e := range list {
		if s.merge(e) {
			stored = append(stored, e)
		}
	}
	return stored
}

func (s *State) merge(e Entry) bool {
	if e.Kind == 0 || e.Kind >= kindCount {
		return false
	}
	s.initMaps()
	old, ok := s.entries[e.id()]
	if ok && !old.Version.Less(e.Version) {
		return false
	}
	if ok {
		s.digest[old.bucket()] ^= old.hash()
	} else {
		s.entryCounts[e.Kind]++
	}
	s.entries[e.id()] = e
	s.digest[e.bucket()] ^= e.hash()
	s.transmissionsLeft[e.id()] = Transmissions
	s.recordChange(e.Kind)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// recordChange counts a change of one kind and closes the channel that Changed
// returned for it.
func (s *State) recordChange(k Kind) {
	s.changeCounts[k].Add(1)
	if s.changeSignals[k] != nil {
		close(s.changeSignals[k])
		s.changeSignals[k] = nil
	}
}

// Changed returns a channel that is closed at the next change of an entry of one
// kind.
func (s *State) Changed(k Kind) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changeSignals[k] == nil {
		s.changeSignals[k] = make(chan struct{})
	}
	return s.changeSignals[k]
}

func (s *State) initMaps() {
	if s.entries != nil {
		return
	}
	s.entries = make(map[entryKey]Entry)
	s.transmissionsLeft = make(map[entryKey]int)
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
}

// Wake returns a channel that receives a value after entries were stored.
func (s *State) Wake() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initMaps()
	return s.wake
}

// ChangeCount returns the number of changes to the entries of one kind. Data derived
// from these entries must be rebuilt when the number changes.
func (s *State) ChangeCount(k Kind) uint64 { return s.changeCounts[k].Load() }

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

// List returns all entries of one kind, in no particular order.
func (s *State) List(k Kind) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Entry, 0, s.entryCounts[k])
	for id, e := range s.entries {
		if id.kind == k {
			list = append(list, e)
		}
	}
	return list
}

// Expire removes the entries that expired before now, in Unix seconds, and
// returns their number.
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
		s.entryCounts[id.kind]--
		delete(s.transmissionsLeft, id)
		s.recordChange(id.kind)
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

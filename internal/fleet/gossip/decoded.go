package gossip

import "sync"

// Decoded keeps the decoded values of one kind of entries, so that a change of
// one entry costs the decoding of one. Its zero value is empty and works.
type Decoded[T any] struct {
	mu    sync.Mutex
	known map[string]decoded[T]
}

type decoded[T any] struct {
	version Version
	value   T
	ok      bool
}

// List returns the values of all entries of one kind, in no order. decode
// returns the value of an entry, or false for one to leave out; it must be the
// same for all calls.
func (d *Decoded[T]) List(s *State, k Kind, decode func(e Entry) (T, bool)) []T {
	entries := s.List(k)
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]decoded[T], len(entries))
	list := make([]T, 0, len(entries))
	for _, e := range entries {
		v, found := d.known[e.Key]
		if !found || v.version != e.Version {
			v.version = e.Version
			v.value, v.ok = decode(e)
		}
		next[e.Key] = v
		if v.ok {
			list = append(list, v.value)
		}
	}
	d.known = next
	return list
}

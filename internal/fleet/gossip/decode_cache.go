package gossip

import "sync"

// DecodeCache caches the decoded values of all entries of one kind, so that a change
// of one entry decodes only that entry. Its zero value is empty and ready to use.
type DecodeCache[T any] struct {
	mu     sync.Mutex
	values map[string]decodedValue[T]
}

type decodedValue[T any] struct {
	version Version
	value   T
	ok      bool
}

// List returns the values of all entries of one kind, in no particular order.
// decode returns the value of an entry, or false to leave the entry out; all
// calls must pass the same decode function.
func (d *DecodeCache[T]) List(s *State, k Kind, decode func(e Entry) (T, bool)) []T {
	entries := s.List(k)
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]decodedValue[T], len(entries))
	list := make([]T, 0, len(entries))
	for _, e := range entries {
		v, found := d.values[e.Key]
		if !found || v.version != e.Version {
			v.version = e.Version
			v.value, v.ok = decode(e)
		}
		next[e.Key] = v
		if v.ok {
			list = append(list, v.value)
		}
	}
	d.values = next
	return list
}

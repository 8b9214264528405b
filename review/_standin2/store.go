package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// change is one change of the store's history.
type change struct {
	item
	removed bool
}

// lease ends at expires unless it is renewed.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// platformStore is a stand-in of the platform's store. It loses nothing, its answers are
// linearizable, and it keeps its whole history. It does not limit the rate of calls.
type platformStore struct {
	// before may answer a call in its place; nil answers none.
	before func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []change
	leases   map[uint64]*lease
	last     uint64
	changed  chan struct{}
}

func newPlatformStore() *platformStore {
	s := &platformStore{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.expires) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *platformStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.wake()
}

// remove removes a key at the current revision. The caller holds the lock.
func (s *platformStore) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, change{item: item{Key: key, Revision: s.revision}, removed: true})
}

// wake wakes the watches. The caller holds the lock.
func (s *platformStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key at the current revision. The caller holds the lock.
func (s *platformStore) set(key string, value []byte, lease uint64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, change{item: it})
}

// put writes a key as the operator, a trainer or a sampler does.
func (s *platformStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.wake()
}

// drop removes a key as the operator or a sampler does.
func (s *platformStore) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

// value returns the value of a key, or nil.
func (s *platformStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements http.Handler.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.before != nil && s.before(w, r) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == names["kv"]+"key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{"as-of": at})
			return
		}
		answer(w, http.StatusOK, struct {
			item
			At uint64 `json:"as-of"`
		}{it, at})
	case path == names["kv"]+"range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case path == names["kv"]+"watch":
		s.watch(w, r)
	case path == names["kv"]+"txn":
		s.commit(w, r)
	case path == names["kv"]+"lease":
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		in.TTL = min(max(in.TTL, 1000), 600_000)
		s.mu.Lock()
		s.last++
		id := s.last
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": in.TTL})
	case strings.HasPrefix(path, names["kv"]+"keep/"), strings.HasPrefix(path, names["kv"]+"lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.expires = time.Now().Add(l.ttl)
		}
		answer(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// list answers with a page of at most 500 items and about 1 MB.
func (s *platformStore) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size, more := []item{}, 0, false
	for _, key := range keys {
		it := s.items[key]
		if more = len(page) == 500 || len(page) > 0 && size+len(it.Value) > 1<<20; more {
			break
		}
		page, size = append(page, it), size+len(it.Value)
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": page, "has-more": more, "as-of": at})
}

// watch answers with the changes after a revision as soon as there are some.
func (s *platformStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	done := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		events := []any{}
		for _, c := range s.history {
			if c.Revision <= after || !strings.HasPrefix(c.Key, q.Get("prefix")) {
				continue
			}
			if c.removed {
				events = append(events, map[string]any{"key": c.Key, "revision": c.Revision, "removed": true})
			} else {
				events = append(events, c.item)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": at})
			return
		}
		select {
		case <-changed:
		case <-done:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// commit carries out a transaction if its conditions hold.
func (s *platformStore) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"set-keys"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Set)+len(in.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, state := true, []item{}
	for _, e := range in.Expected {
		it := s.items[e.Key]
		held = held && it.Revision == e.Revision
		if it.Revision != 0 {
			state = append(state, it)
		} else {
			state = append(state, item{Key: e.Key})
		}
	}
	if !held {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": state})
		return
	}
	for _, n := range in.Set {
		if n.Lease != 0 && s.leases[n.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		if len(n.Key) > 200 || len(n.Value) > 1<<20 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.revision++
	for _, n := range in.Set {
		s.set(n.Key, n.Value, n.Lease)
	}
	for _, key := range in.Remove {
		if _, ok := s.items[key]; ok {
			s.remove(key)
		}
	}
	s.wake()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

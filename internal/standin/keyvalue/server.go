package keyvalue

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/fault"
)

// Faults are what can be wrong with the service.
type Faults struct {
	// Down refuses all calls by closing their connections.
	Down bool `json:"down"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is how many of the next writes take effect without an answer.
	LoseAnswers int64 `json:"lose_answers"`
	// Stale answers reads with the revision before the last one.
	Stale bool `json:"stale"`
}

// Stats counts what the platform counts.
type Stats struct {
	Calls   int64 `json:"calls"`
	Writes  int64 `json:"writes"`
	Waiting int64 `json:"waiting"`
}

// watchTime is the longest wait of a watch.
const watchTime = 30 * time.Second

// Server is the stand-in. Its zero value needs a Timer.
type Server struct {
	Timer  timer.Service
	Faults fault.Door[Faults]

	store   store
	lost    atomic.Int64
	calls   atomic.Int64
	writes  atomic.Int64
	waiting atomic.Int64
}

// Handler returns the doors of the service.
func (s *Server) Handler() http.Handler {
	s.store.mu.Lock()
	s.store.prepare()
	s.store.mu.Unlock()
	s.Faults.Changed = func(f Faults) { s.lost.Store(f.LoseAnswers) }
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.Faults)
	mux.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Stats())
	})
	for path, f := range map[string]operation{
		keyvalue.PathGet:       s.get,
		keyvalue.PathPut:       s.put,
		keyvalue.PathWatch:     s.watch,
		keyvalue.PathGrant:     s.grant,
		keyvalue.PathKeepAlive: s.keepAlive,
		keyvalue.PathRevoke:    s.revoke,
	} {
		mux.HandleFunc(path, s.serve(f))
	}
	return mux
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	return Stats{
		Calls:   s.calls.Load(),
		Writes:  s.writes.Load(),
		Waiting: s.waiting.Load(),
	}
}

type operation func(r *http.Request, c keyvalue.Call) (keyvalue.Item, keyvalue.Fault)

func (s *Server) serve(f operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		faults := s.Faults.Get()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		if faults.SlowMS > 0 && !timer.Wait(s.Timer, time.Duration(faults.SlowMS)*time.Millisecond, r.Context().Done()) {
			return
		}
		var c keyvalue.Call
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxValue)).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		item, fault := f(r, c)
		if r.URL.Path == keyvalue.PathPut {
			s.writes.Add(1)
			if s.lost.Add(-1) >= 0 {
				panic(http.ErrAbortHandler)
			}
		}
		if s.Faults.Get().Down {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(keyvalue.Answer{
			Item:  item,
			Error: fault,
		})
	}
}

func (s *Server) lock() func() {
	s.store.mu.Lock()
	s.store.expire(s.Timer.Now())
	return s.store.mu.Unlock
}

func (s *Server) get(_ *http.Request, c keyvalue.Call) (keyvalue.Item, keyvalue.Fault) {
	defer s.lock()()
	return s.store.get(c.Key, s.Faults.Get().Stale)
}

func (s *Server) put(_ *http.Request, c keyvalue.Call) (keyvalue.Item, keyvalue.Fault) {
	defer s.lock()()
	return s.store.put(c)
}

func (s *Server) grant(_ *http.Request, c keyvalue.Call) (keyvalue.Item, keyvalue.Fault) {
	defer s.lock()()
	s.writes.Add(1)
	return keyvalue.Item{
		Lease: s.store.grant(time.Duration(c.TTLMS)*time.Millisecond, s.Timer.Now()),
	}, keyvalue.FaultNone
}

func (s *Server) keepAlive(_ *http.Request, c keyvalue.Call) (keyvalue.Item, keyvalue.Fault) {
	defer s.lock()()
	s.writes.Add(1)
	return keyvalue.Item{}, s.store.keepAlive(c.Lease, s.Timer.Now())
}

func (s *Server) revoke(_ *http.Request, c keyvalue.Call) (keyvalue.Item, keyvalue.Fault) {
	defer s.lock()()
	s.writes.Add(1)
	s.store.end(c.Lease)
	return keyvalue.Item{}, keyvalue.FaultNone
}

func (s *Server) watch(r *http.Request, c keyvalue.Call) (keyvalue.Item, keyvalue.Fault) {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	end := s.Timer.Once(watchTime)
	defer end.Close()
	for {
		unlock := s.lock()
		item, fault := s.store.get(c.Key, s.Faults.Get().Stale)
		changed := s.store.changed
		unlock()
		if fault == keyvalue.FaultNone && item.Revision > c.Expect {
			return item, fault
		}
		select {
		case <-changed:
		case <-end.C:
			return keyvalue.Item{}, keyvalue.FaultNoChange
		case <-r.Context().Done():
			return keyvalue.Item{}, keyvalue.FaultNoChange
		}
	}
}

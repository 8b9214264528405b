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

// Faults holds the failures that can be injected into the service.
type Faults struct {
	// Down refuses all calls by closing their connections.
	Down bool `json:"down"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is how many of the next puts lose their answers although they
	// take effect.
	LoseAnswers int64 `json:"lose_answers"`
	// Stale answers reads and watches with the revision before the last one of an
	// item, if there is one.
	Stale bool `json:"stale"`
}

// Stats holds the counters that the platform's service keeps as well.
type Stats struct {
	Calls   int64 `json:"calls"`
	Writes  int64 `json:"writes"`
	Waiting int64 `json:"waiting"`
}

// maxWatchTime is the time after which a watch without a change is answered.
const maxWatchTime = 30 * time.Second

// Server is a simulated key-value service. It needs a Timer.
type Server struct {
	Timer  timer.Service
	Faults fault.Endpoint[Faults]

	store store
	// answersToLose is the number of answers still to lose; 0 and below is none.
	answersToLose atomic.Int64
	calls         atomic.Int64
	writes        atomic.Int64
	waiting       atomic.Int64
}

// Handler returns the handler of the HTTP endpoints of the service.
func (s *Server) Handler() http.Handler {
	s.store.mu.Lock()
	s.store.prepare()
	s.store.mu.Unlock()
	s.Faults.OnChange = func(f Faults) { s.answersToLose.Store(f.LoseAnswers) }
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
		mux.HandleFunc(path, s.withFaults(f))
	}
	return mux
}

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	return Stats{
		Calls:   s.calls.Load(),
		Writes:  s.writes.Load(),
		Waiting: s.waiting.Load(),
	}
}

// operation executes one call to the service.
type operation func(r *http.Request, req keyvalue.Request) (keyvalue.Item, keyvalue.ErrorCode)

// withFaults returns the handler of f: it counts the call, applies the faults and
// encodes the answer.
func (s *Server) withFaults(f operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		faults := s.Faults.Get()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		if faults.SlowMS > 0 && !timer.Wait(s.Timer, time.Duration(faults.SlowMS)*time.Millisecond, r.Context().Done()) {
			return
		}
		var req keyvalue.Request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxValueBytes)).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		item, code := f(r, req)
		if r.URL.Path == keyvalue.PathPut {
			s.writes.Add(1)
			if s.answersToLose.Add(-1) >= 0 {
				panic(http.ErrAbortHandler)
			}
		}
		if s.Faults.Get().Down {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(keyvalue.Response{
			Item:  item,
			Error: code,
		})
	}
}

// lock locks the store, ends expired leases and returns the function that unlocks
// the store.
func (s *Server) lock() func() {
	s.store.mu.Lock()
	s.store.endExpiredLeases(s.Timer.Now())
	return s.store.mu.Unlock
}

func (s *Server) get(_ *http.Request, req keyvalue.Request) (keyvalue.Item, keyvalue.ErrorCode) {
	defer s.lock()()
	return s.store.get(req.Key, s.Faults.Get().Stale)
}

func (s *Server) put(_ *http.Request, req keyvalue.Request) (keyvalue.Item, keyvalue.ErrorCode) {
	defer s.lock()()
	return s.store.put(req)
}

func (s *Server) grant(_ *http.Request, req keyvalue.Request) (keyvalue.Item, keyvalue.ErrorCode) {
	defer s.lock()()
	s.writes.Add(1)
	return keyvalue.Item{
		Lease: s.store.grant(time.Duration(req.TTLMS)*time.Millisecond, s.Timer.Now()),
	}, keyvalue.CodeNone
}

func (s *Server) keepAlive(_ *http.Request, req keyvalue.Request) (keyvalue.Item, keyvalue.ErrorCode) {
	defer s.lock()()
	s.writes.Add(1)
	return keyvalue.Item{}, s.store.keepAlive(req.Lease, s.Timer.Now())
}

func (s *Server) revoke(_ *http.Request, req keyvalue.Request) (keyvalue.Item, keyvalue.ErrorCode) {
	defer s.lock()()
	s.writes.Add(1)
	s.store.endLease(req.Lease)
	return keyvalue.Item{}, keyvalue.CodeNone
}

// watch waits until the key has a revision above req.Expect, for up to
// maxWatchTime.
func (s *Server) watch(r *http.Request, req keyvalue.Request) (keyvalue.Item, keyvalue.ErrorCode) {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	end := s.Timer.Once(maxWatchTime)
	defer end.Close()
	for {
		unlock := s.lock()
		item, code := s.store.get(req.Key, s.Faults.Get().Stale)
		changed := s.store.changed
		unlock()
		if code == keyvalue.CodeNone && item.Revision > req.Expect {
			return item, code
		}
		select {
		case <-changed:
		case <-end.C:
			return keyvalue.Item{}, keyvalue.CodeNoChange
		case <-r.Context().Done():
			return keyvalue.Item{}, keyvalue.CodeNoChange
		}
	}
}

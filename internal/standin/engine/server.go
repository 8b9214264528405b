package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/outside/roster"
	"github.com/egretbend/egretbend/internal/standin/fault"
)

// Server is a simulated model engine. It needs a Timer and Settings.
type Server struct {
	Timer    timer.Service
	Settings Settings
	// Address is the address that Instance reports.
	Address string
	Faults  fault.Endpoint[Faults]

	mu                  sync.Mutex
	queue               queue
	version             version.Version
	fetched             version.Version
	highestFencingToken uint64
	incarnation         uint64
	leaving             bool
	// crashed is closed and replaced at each crash.
	crashed      chan struct{}
	crashedUntil timer.Instant
	stallUntil   timer.Instant
	reports      []delayedReport
	cache        cache
	streams      atomic.Uint64
	tokens       atomic.Int64
	prefills     atomic.Int64
	hits         atomic.Int64
}

// delayedReport is a load report and the time at which it was made.
type delayedReport struct {
	at     timer.Instant
	report engine.LoadReport
}

// Handler initialises the engine and returns the handler of its HTTP endpoints.
func (s *Server) Handler() http.Handler {
	s.mu.Lock()
	if s.Settings.Initial.IsZero() {
		s.Settings.Initial.Epoch = 1
	}
	s.version = s.Settings.Initial
	s.fetched = s.Settings.Initial
	s.incarnation = uint64(time.Now().UnixMilli())
	s.crashed = make(chan struct{})
	s.queue.slots = s.Settings.Slots
	s.queue.maxWaiting = s.Settings.Queue
	s.cache.capacity = s.Settings.CacheEntries
	s.mu.Unlock()
	s.Faults.OnChange = s.crash
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.Faults)
	mux.HandleFunc(engine.PathCompletions, s.unlessCrashed(s.completions))
	mux.HandleFunc(engine.PathLoad, s.unlessCrashed(s.load))
	mux.HandleFunc(engine.PathOrders, s.unlessCrashed(s.order))
	mux.HandleFunc("/leave", s.leave)
	mux.HandleFunc("/stats", s.stats)
	return mux
}

// Instance returns the entry of the engine for the instance list, and whether
// the engine is up.
func (s *Server) Instance() (roster.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return roster.Instance{
		ID:            s.Settings.ID,
		Group:         s.Settings.Group,
		Address:       s.Address,
		FailureDomain: s.Settings.FailureDomain,
		Incarnation:   s.incarnation,
		Leaving:       s.leaving,
	}, s.Timer.Now() >= s.crashedUntil
}

// unlessCrashed wraps next so that connections are aborted while the engine is
// down after a crash.
func (s *Server) unlessCrashed(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.Timer.Now() < s.crashedUntil
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// crash cuts all streams, clears the cache and restores the initial weights. The
// engine is down for f.CrashMS and has a new incarnation afterwards; without
// CrashMS nothing happens.
func (s *Server) crash(f Faults) {
	if f.CrashMS == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.crashedUntil = s.Timer.Now().Add(time.Duration(f.CrashMS) * time.Millisecond)
	s.version = s.Settings.Initial
	s.fetched = s.Settings.Initial
	s.incarnation++
	s.cache = cache{
		capacity: s.Settings.CacheEntries,
	}
}

// leave marks the engine as draining; it refuses further requests.
func (s *Server) leave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.report())
}

// report returns the load of Settings.ReportLagMS ago. All other values, such as
// the versions and whether the engine is draining, are current.
func (s *Server) report() engine.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	current := engine.LoadReport{
		Running:     s.queue.running,
		Waiting:     s.queue.waiting(),
		Slots:       s.Settings.Slots,
		Version:     s.version,
		Fetched:     s.fetched,
		Incarnation: s.incarnation,
		Leaving:     s.leaving,
	}
	lag := time.Duration(s.Settings.ReportLagMS) * time.Millisecond
	if lag == 0 {
		return current
	}
	s.reports = append(s.reports, delayedReport{
		at:     now,
		report: current,
	})
	delayed := s.reports[0]
	for len(s.reports) > 1 && s.reports[1].at <= now.Add(-lag) {
		s.reports = s.reports[1:]
		delayed = s.reports[0]
	}
	current.Running = delayed.report.Running
	current.Waiting = delayed.report.Waiting
	return current
}

// Stats holds the counters of an engine.
type Stats struct {
	Streams  uint64 `json:"streams"`
	Tokens   int64  `json:"tokens"`
	Prefills int64  `json:"prefills"`
	Hits     int64  `json:"hits"`
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Stats())
}

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	return Stats{
		Streams:  s.streams.Load(),
		Tokens:   s.tokens.Load(),
		Prefills: s.prefills.Load(),
		Hits:     s.hits.Load(),
	}
}

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

// Server is the stand-in. Its zero value needs a Timer and Settings.
type Server struct {
	Timer    timer.Service
	Settings Settings
	Address  string
	Faults   fault.Door[Faults]

	mu          sync.Mutex
	queue       queue
	version     version.Version
	fetched     version.Version
	fence       uint64
	incarnation uint64
	leaving     bool
	cut         chan struct{}
	downUntil   timer.Instant
	stallUntil  timer.Instant
	reports     []late
	cache       cache
	streams     atomic.Uint64
	tokens      atomic.Int64
	prefills    atomic.Int64
	hits        atomic.Int64
}

// late is a report that is told later.
type late struct {
	at     timer.Instant
	report engine.Report
}

// Handler returns the doors of the engine.
func (s *Server) Handler() http.Handler {
	s.mu.Lock()
	if s.Settings.Initial.Zero() {
		s.Settings.Initial.Epoch = 1
	}
	s.version = s.Settings.Initial
	s.fetched = s.Settings.Initial
	s.incarnation = uint64(time.Now().UnixMilli())
	s.cut = make(chan struct{})
	s.queue.slots = s.Settings.Slots
	s.queue.most = s.Settings.Queue
	s.cache.most = s.Settings.CacheEntries
	s.mu.Unlock()
	s.Faults.Changed = s.crash
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.Faults)
	mux.HandleFunc(engine.PathCompletions, s.up(s.completions))
	mux.HandleFunc(engine.PathLoad, s.up(s.load))
	mux.HandleFunc(engine.PathOrders, s.up(s.order))
	mux.HandleFunc("/leave", s.leave)
	mux.HandleFunc("/stats", s.stats)
	return mux
}

// Instance returns the engine as the instance list names it, and whether it is
// up.
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
	}, s.Timer.Now() >= s.downUntil
}

// up cuts connections while the engine is crashed.
func (s *Server) up(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.Timer.Now() < s.downUntil
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// crash cuts all streams and brings the engine back with its initial weights.
func (s *Server) crash(f Faults) {
	if f.CrashMS == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
	s.downUntil = s.Timer.Now().Add(time.Duration(f.CrashMS) * time.Millisecond)
	s.version = s.Settings.Initial
	s.fetched = s.Settings.Initial
	s.incarnation++
	s.cache = cache{
		most: s.Settings.CacheEntries,
	}
}

func (s *Server) leave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.report())
}

// report returns the load as it was a while ago. Versions and leaving are told
// as they are.
func (s *Server) report() engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	current := engine.Report{
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
	s.reports = append(s.reports, late{
		at:     now,
		report: current,
	})
	told := s.reports[0]
	for len(s.reports) > 1 && s.reports[1].at <= now.Add(-lag) {
		s.reports = s.reports[1:]
		told = s.reports[0]
	}
	current.Running = told.report.Running
	current.Waiting = told.report.Waiting
	return current
}

// Stats counts what an engine did.
type Stats struct {
	Streams  uint64 `json:"streams"`
	Tokens   int64  `json:"tokens"`
	Prefills int64  `json:"prefills"`
	Hits     int64  `json:"hits"`
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Stats())
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	return Stats{
		Streams:  s.streams.Load(),
		Tokens:   s.tokens.Load(),
		Prefills: s.prefills.Load(),
		Hits:     s.hits.Load(),
	}
}

package roster

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/roster"
	"github.com/egretbend/egretbend/internal/standin/fault"
)

// Faults are what can be wrong with the list.
type Faults struct {
	// Down refuses all reads by closing their connections.
	Down bool `json:"down"`
	// LagMS is by how much the list is behind, in milliseconds.
	LagMS int64 `json:"lag_ms"`
}

// Times of the list.
const (
	// silence is how long an instance stays listed without a word.
	silence = 4 * time.Second
	// snapshots is how many past lists are kept for the lag.
	snapshots      = 120
	snapshotPeriod = 250 * time.Millisecond
)

// PathAnnounce is where upstreams announce themselves.
const PathAnnounce = "/announce"

// Server is the stand-in. Its zero value needs a Timer.
type Server struct {
	Timer  timer.Service
	Faults fault.Door[Faults]

	mu    sync.Mutex
	known map[string]announced
	past  []snapshot
}

type announced struct {
	instance roster.Instance
	at       timer.Instant
}

type snapshot struct {
	at   timer.Instant
	list []roster.Instance
}

// Handler returns the doors of the list.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.Faults)
	mux.HandleFunc(roster.PathList, s.list)
	mux.HandleFunc(PathAnnounce, s.announce)
	return mux
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	var in roster.Instance
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Announce(in)
	w.WriteHeader(http.StatusNoContent)
}

// Announce takes the word of an upstream.
func (s *Server) Announce(in roster.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = make(map[string]announced)
	}
	s.known[in.ID] = announced{
		instance: in,
		at:       s.Timer.Now(),
	}
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	faults := s.Faults.Get()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	list := s.at(s.Timer.Now(), time.Duration(faults.LagMS)*time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// at returns the list as it was lag before now.
func (s *Server) at(now timer.Instant, lag time.Duration) []roster.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remember(now)
	best := s.past[0].list
	for _, p := range s.past {
		if p.at <= now.Add(-lag) {
			best = p.list
		}
	}
	return best
}

func (s *Server) remember(now timer.Instant) {
	if n := len(s.past); n > 0 && now.Sub(s.past[n-1].at) < snapshotPeriod {
		return
	}
	list := []roster.Instance{}
	for _, a := range s.known {
		if now.Sub(a.at) < silence {
			list = append(list, a.instance)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s.past = append(s.past, snapshot{
		at:   now,
		list: list,
	})
	if len(s.past) > snapshots {
		s.past = s.past[1:]
	}
}

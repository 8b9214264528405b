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

// Faults holds the failures that can be injected into the list.
type Faults struct {
	// Down refuses all reads by closing their connections.
	Down bool `json:"down"`
	// LagMS is the age of the list that is returned, in milliseconds.
	LagMS int64 `json:"lag_ms"`
}

const (
	// announceTimeout is how long an upstream stays listed after its last
	// announcement.
	announceTimeout = 4 * time.Second
	// maxSnapshots is the number of past lists that are kept for LagMS.
	maxSnapshots = 120
	// snapshotPeriod is the minimum time between two snapshots.
	snapshotPeriod = 250 * time.Millisecond
)

// PathAnnounce is the path at which upstreams announce themselves.
const PathAnnounce = "/announce"

// Server is a simulated instance list. It needs a Timer.
type Server struct {
	Timer  timer.Service
	Faults fault.Endpoint[Faults]

	mu sync.Mutex
	// announcements holds the last announcement of each upstream by its ID.
	announcements map[string]announcement
	// snapshots holds the past lists, the oldest first.
	snapshots []snapshot
}

// announcement is the last state that an upstream announced.
type announcement struct {
	instance roster.Instance
	at       timer.Instant
}

// snapshot is the list at one time.
type snapshot struct {
	at   timer.Instant
	list []roster.Instance
}

// Handler returns the handler of the HTTP endpoints of the list.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.Faults)
	mux.HandleFunc(roster.PathList, s.list)
	mux.HandleFunc(PathAnnounce, s.announce)
	return mux
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	var instance roster.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Announce(instance)
	w.WriteHeader(http.StatusNoContent)
}

// Announce records the state of an upstream.
func (s *Server) Announce(instance roster.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announcements == nil {
		s.announcements = make(map[string]announcement)
	}
	s.announcements[instance.ID] = announcement{
		instance: instance,
		at:       s.Timer.Now(),
	}
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	faults := s.Faults.Get()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	list := s.listAt(s.Timer.Now(), time.Duration(faults.LagMS)*time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// listAt returns the newest list that is at least lag old, or the oldest one
// kept.
func (s *Server) listAt(now timer.Instant, lag time.Duration) []roster.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeSnapshot(now)
	best := s.snapshots[0].list
	for _, past := range s.snapshots {
		if past.at <= now.Add(-lag) {
			best = past.list
		}
	}
	return best
}

// takeSnapshot appends the present list to the snapshots, unless the last one is
// younger than snapshotPeriod.
func (s *Server) takeSnapshot(now timer.Instant) {
	if n := len(s.snapshots); n > 0 && now.Sub(s.snapshots[n-1].at) < snapshotPeriod {
		return
	}
	list := []roster.Instance{}
	for _, a := range s.announcements {
		if now.Sub(a.at) < announceTimeout {
			list = append(list, a.instance)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s.snapshots = append(s.snapshots, snapshot{
		at:   now,
		list: list,
	})
	if len(s.snapshots) > maxSnapshots {
		s.snapshots = s.snapshots[1:]
	}
}

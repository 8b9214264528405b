package weights

import (
	"net/http"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/fault"
)

// Faults holds the failures that can be injected into the store.
type Faults struct {
	// Down refuses all fetches by closing their connections.
	Down bool `json:"down"`
}

// PathPrefix is the path at which weights are fetched; their name follows.
const PathPrefix = "/weights/"

// Server is a simulated weight store. It needs a Timer.
type Server struct {
	Timer  timer.Service
	Faults fault.Endpoint[Faults]
	// PerSecond is the number of fetches that may begin per second, also the size
	// of a burst.
	PerSecond float64
	// FetchTime is the time that a fetch takes.
	FetchTime time.Duration

	mu sync.Mutex
	// tokens is the content of the token bucket as of refilledAt.
	tokens     float64
	refilledAt timer.Instant
}

// Handler returns the handler of the HTTP endpoints of the store.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.Faults)
	mux.HandleFunc(PathPrefix, s.fetch)
	return mux
}

func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	if s.Faults.Get().Down {
		panic(http.ErrAbortHandler)
	}
	if !s.takeToken(s.Timer.Now()) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if !timer.Wait(s.Timer, s.FetchTime, r.Context().Done()) {
		return
	}
	w.WriteHeader(http.StatusOK)
}

// takeToken reports whether a fetch may begin, and takes its token from the
// bucket.
func (s *Server) takeToken(now timer.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	burst := max(1, s.PerSecond)
	if s.refilledAt == 0 {
		s.tokens = burst
	}
	s.tokens = min(burst, s.tokens+now.Sub(s.refilledAt).Seconds()*s.PerSecond)
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

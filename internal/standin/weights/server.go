package weights

import (
	"net/http"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/fault"
)

// Faults are what can be wrong with the store.
type Faults struct {
	Down bool `json:"down"`
}

// PathWeights is where weights are fetched; the name follows.
const PathWeights = "/weights/"

// Server is the stand-in. Its zero value needs a Timer.
type Server struct {
	Timer  timer.Service
	Faults fault.Door[Faults]
	// PerSecond is how many fetches may begin in a second.
	PerSecond float64
	// Took is how long a fetch takes.
	Took time.Duration

	mu     sync.Mutex
	tokens float64
	at     timer.Instant
}

// Handler returns the doors of the store.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.Faults)
	mux.HandleFunc(PathWeights, s.fetch)
	return mux
}

func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	if s.Faults.Get().Down {
		panic(http.ErrAbortHandler)
	}
	if !s.take(s.Timer.Now()) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if !timer.Wait(s.Timer, s.Took, r.Context().Done()) {
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) take(now timer.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := max(1, s.PerSecond)
	if s.at == 0 {
		s.tokens = most
	}
	s.tokens = min(most, s.tokens+now.Sub(s.at).Seconds()*s.PerSecond)
	s.at = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

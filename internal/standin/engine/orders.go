package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/standin/weights"
)

// fetchPause is the time between two tries at a store that is at its rate.
const fetchPause = 100 * time.Millisecond

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.admit(o.Fencing) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	status := http.StatusOK
	switch o.Action {
	case engine.ActionFetch:
		status = s.fetch(r.Context(), o)
	case engine.ActionSwitch:
		status = s.swap(r.Context(), o)
	default:
		status = http.StatusBadRequest
	}
	w.WriteHeader(status)
}

// admit checks the fencing number, if this engine checks it.
func (s *Server) admit(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Settings.ChecksFencing && number < s.fence {
		return false
	}
	s.fence = max(s.fence, number)
	return true
}

func (s *Server) fetch(ctx context.Context, o engine.Order) int {
	for s.Settings.Weights != "" {
		status := s.fetchOnce(ctx, o.Source)
		if status == http.StatusOK {
			break
		}
		if status != http.StatusTooManyRequests || !timer.Wait(s.Timer, fetchPause, ctx.Done()) {
			return http.StatusBadGateway
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetched.Less(o.Version) {
		s.fetched = o.Version
	}
	return http.StatusOK
}

func (s *Server) fetchOnce(ctx context.Context, source string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Settings.Weights+weights.PathWeights+source, nil)
	if err != nil {
		return http.StatusBadRequest
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return http.StatusBadGateway
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// swap switches all streams to the fetched weights, in mid-stream. An engine
// that doesn't check fencing does as it is told, also to an older version.
func (s *Server) swap(ctx context.Context, o engine.Order) int {
	stall := time.Duration(s.Settings.SwitchMS) * time.Millisecond
	s.mu.Lock()
	ready := !s.fetched.Less(o.Version)
	s.stallUntil = s.Timer.Now().Add(stall)
	s.mu.Unlock()
	if !ready {
		return http.StatusPreconditionFailed
	}
	if !timer.Wait(s.Timer, stall, ctx.Done()) {
		return http.StatusGatewayTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Faults.Get().SwitchFails && s.Timer.Now()%2 == 0 {
		return http.StatusInternalServerError
	}
	s.version = o.Version
	if s.Faults.Get().SwitchFails {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

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

// fetchRetryDelay is the time between two fetches from a weight store that
// refuses them because of its rate limit.
const fetchRetryDelay = 100 * time.Millisecond

// order executes an order to fetch or switch weights and answers with its
// status.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.checkFencingToken(o.FencingToken) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	status := http.StatusOK
	switch o.Action {
	case engine.ActionFetch:
		status = s.fetch(r.Context(), o)
	case engine.ActionSwitch:
		status = s.switchVersion(r.Context(), o)
	default:
		status = http.StatusBadRequest
	}
	w.WriteHeader(status)
}

// checkFencingToken reports whether an order with this fencing token is accepted,
// and records the highest token. An engine without ChecksFencing accepts every
// token.
func (s *Server) checkFencingToken(token uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Settings.ChecksFencing && token < s.highestFencingToken {
		return false
	}
	s.highestFencingToken = max(s.highestFencingToken, token)
	return true
}

// fetch downloads the weights of an order, and retries while the store limits
// the rate. It returns the HTTP status of the order.
func (s *Server) fetch(ctx context.Context, o engine.Order) int {
	for s.Settings.Weights != "" {
		status := s.fetchOnce(ctx, o.Source)
		if status == http.StatusOK {
			break
		}
		if status != http.StatusTooManyRequests || !timer.Wait(s.Timer, fetchRetryDelay, ctx.Done()) {
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

// fetchOnce sends one request to the weight store and returns its status.
func (s *Server) fetchOnce(ctx context.Context, source string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Settings.Weights+weights.PathPrefix+source, nil)
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

// switchVersion switches all streams to the version of the order while they
// run, and stalls them for the time of the switch. The version must not be newer
// than the fetched one; a switch to an older version is allowed. It returns the
// HTTP status of the order.
func (s *Server) switchVersion(ctx context.Context, o engine.Order) int {
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

package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Parameters of the adaptive limit of a deployment.
const (
	// minLimit is the smallest limit.
	minLimit = 2
	// decreaseFactor multiplies the limit when an upstream refuses or times out.
	decreaseFactor = 0.85
	// minDecreaseInterval is the minimum time between two decreases: all refusals
	// of one burst count as a single signal.
	minDecreaseInterval = 100 * time.Millisecond
	// fairShareThreshold is the used fraction of the limit above which fair shares
	// are enforced.
	fairShareThreshold = 0.7
	// callerIdleTimeout is how long after its last request a caller without
	// requests in flight loses its share.
	callerIdleTimeout = 2 * time.Second
)

// deploymentLimiter limits the concurrency of one deployment and shares it among
// callers. Its state is atomic. limit, weightSum and callerState.weight hold the bits of a
// float64.
type deploymentLimiter struct {
	limit    atomic.Uint64
	inFlight atomic.Int64
	// decreased is set by the first decrease, which ends the fast growth.
	decreased    atomic.Bool
	lastDecrease atomic.Int64
	callers      sync.Map // caller name to *callerState
	// weightSum is the sum of the weights of active callers as of lastSweep.
	weightSum atomic.Uint64
	lastSweep atomic.Int64
}

// callerState is the state of one caller at a deployment.
type callerState struct {
	inFlight atomic.Int64
	lastSeen atomic.Int64
	weight   atomic.Uint64
}

func (g *deploymentLimiter) currentLimit() float64  { return math.Float64frombits(g.limit.Load()) }
func (g *deploymentLimiter) setLimit(limit float64) { g.limit.Store(math.Float64bits(limit)) }

// initLimit sets the initial limit to the whole capacity: a single trainer session may
// need all of it at once, and where many instances start at the same time, the first
// refusals lower their limits within a second.
func (g *deploymentLimiter) initLimit(capacity float64) {
	if g.currentLimit() == 0 {
		g.setLimit(max(minLimit, capacity))
	}
}

// increase raises the limit after a successful request, if at least half of it is in
// use: by one per answer until the first decrease, and by about one per limit's worth
// of answers after it.
func (g *deploymentLimiter) increase(capacity float64) {
	limit := g.currentLimit()
	if float64(g.inFlight.Load()) < limit/2 {
		return
	}
	step := 1.0
	if g.decreased.Load() {
		step = 1 / limit
	}
	g.setLimit(min(limit+step, max(minLimit, capacity)))
}

// decrease lowers the limit after an upstream refused or timed out, at most once per
// minDecreaseInterval.
func (g *deploymentLimiter) decrease(now timer.Instant) {
	last := g.lastDecrease.Load()
	if now.Sub(timer.Instant(last)) < minDecreaseInterval || !g.lastDecrease.CompareAndSwap(last, int64(now)) {
		return
	}
	g.decreased.Store(true)
	g.setLimit(max(minLimit, g.currentLimit()*decreaseFactor))
}

// trackCaller returns the state of a caller and marks it as active.
func (g *deploymentLimiter) trackCaller(name string, weight float64, now timer.Instant) *callerState {
	v, known := g.callers.Load(name)
	if !known {
		v, _ = g.callers.LoadOrStore(name, &callerState{})
	}
	s := v.(*callerState)
	s.lastSeen.Store(int64(now))
	s.weight.Store(math.Float64bits(weight))
	if !known {
		// Force a sweep: until weightSum includes a new caller, its fair share is
		// not enforced.
		g.lastSweep.Store(0)
	}
	g.sweepCallers(now)
	return s
}

// sweepCallers sums the weights of active callers and removes idle ones, at most
// every half second.
func (g *deploymentLimiter) sweepCallers(now timer.Instant) {
	last := g.lastSweep.Load()
	if last != 0 && now.Sub(timer.Instant(last)) < callerIdleTimeout/4 {
		return
	}
	if !g.lastSweep.CompareAndSwap(last, int64(now)) {
		return
	}
	sum := 0.0
	g.callers.Range(func(key, v any) bool {
		s := v.(*callerState)
		if s.inFlight.Load() == 0 && now.Sub(timer.Instant(s.lastSeen.Load())) > callerIdleTimeout {
			g.callers.Delete(key)
			return true
		}
		sum += math.Float64frombits(s.weight.Load())
		return true
	})
	g.weightSum.Store(math.Float64bits(sum))
}

// reachedFairShare reports whether a caller's requests in flight have reached its
// weighted part of the limit.
func (g *deploymentLimiter) reachedFairShare(s *callerState, limit float64) bool {
	sum := math.Float64frombits(g.weightSum.Load())
	weight := math.Float64frombits(s.weight.Load())
	if sum <= weight {
		return false
	}
	return float64(s.inFlight.Load()) >= max(1, limit*weight/sum)
}

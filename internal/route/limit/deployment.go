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

func (d *deploymentLimiter) currentLimit() float64  { return math.Float64frombits(d.limit.Load()) }
func (d *deploymentLimiter) setLimit(limit float64) { d.limit.Store(math.Float64bits(limit)) }

// initLimit sets the initial limit to the whole capacity: a single trainer session may
// need all of it at once, and where many instances start at the same time, the first
// refusals lower their limits within a second.
func (d *deploymentLimiter) initLimit(capacity float64) {
	if d.currentLimit() == 0 {
		d.setLimit(max(minLimit, capacity))
	}
}

// increase raises the limit after a successful request, if at least half of it is in
// use: by one per answer until the first decrease, and by about one per limit's worth
// of answers after it.
func (d *deploymentLimiter) increase(capacity float64) {
	limit := d.currentLimit()
	if float64(d.inFlight.Load()) < limit/2 {
		return
	}
	step := 1.0
	if d.decreased.Load() {
		step = 1 / limit
	}
	d.setLimit(min(limit+step, max(minLimit, capacity)))
}

// decrease lowers the limit after an upstream refused or timed out, at most once per
// minDecreaseInterval.
func (d *deploymentLimiter) decrease(now timer.Instant) {
	last := d.lastDecrease.Load()
	if now.Sub(timer.Instant(last)) < minDecreaseInterval || !d.lastDecrease.CompareAndSwap(last, int64(now)) {
		return
	}
	d.decreased.Store(true)
	d.setLimit(max(minLimit, d.currentLimit()*decreaseFactor))
}

// trackCaller returns the state of a caller and marks it as active.
func (d *deploymentLimiter) trackCaller(name string, weight float64, now timer.Instant) *callerState {
	v, known := d.callers.Load(name)
	if !known {
		v, _ = d.callers.LoadOrStore(name, &callerState{})
	}
	s := v.(*callerState)
	s.lastSeen.Store(int64(now))
	s.weight.Store(math.Float64bits(weight))
	if !known {
		// Force a sweep: until weightSum includes a new caller, its fair share is
		// not enforced.
		d.lastSweep.Store(0)
	}
	d.sweepCallers(now)
	return s
}

// sweepCallers sums the weights of active callers and removes idle ones, at most
// every half second.
func (d *deploymentLimiter) sweepCallers(now timer.Instant) {
	last := d.lastSweep.Load()
	if last != 0 && now.Sub(timer.Instant(last)) < callerIdleTimeout/4 {
		return
	}
	if !d.lastSweep.CompareAndSwap(last, int64(now)) {
		return
	}
	sum := 0.0
	d.callers.Range(func(key, v any) bool {
		s := v.(*callerState)
		if s.inFlight.Load() == 0 && now.Sub(timer.Instant(s.lastSeen.Load())) > callerIdleTimeout {
			d.callers.Delete(key)
			return true
		}
		sum += math.Float64frombits(s.weight.Load())
		return true
	})
	d.weightSum.Store(math.Float64bits(sum))
}

// reachedFairShare reports whether a caller's requests in flight have reached its
// weighted part of the limit.
func (d *deploymentLimiter) reachedFairShare(s *callerState, limit float64) bool {
	sum := math.Float64frombits(d.weightSum.Load())
	weight := math.Float64frombits(s.weight.Load())
	if sum <= weight {
		return false
	}
	return float64(s.inFlight.Load()) >= max(1, limit*weight/sum)
}

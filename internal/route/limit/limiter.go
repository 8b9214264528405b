package limit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Limiter decides which requests are admitted. Only Timer must be set.
type Limiter struct {
	Timer timer.Service

	deployments sync.Map // deployment name to *deploymentLimiter
}

// Request describes a request to be admitted.
type Request struct {
	Deployment string
	Caller     string
	Priority   Priority
	Weight     float64
	// Capacity is the number of requests that the deployment's upstreams can run
	// or queue at once, as far as this instance knows.
	Capacity float64
	// Usage is the fraction of the slots that is in use, as far as this instance
	// knows; it exceeds 1 when requests queue.
	Usage float64
	// Slots is the number of the deployment's slots.
	Slots float64
	// ClaimedShare is the share of the slots that the caller may claim across all
	// instances while slots are scarce; zero means no particular share.
	ClaimedShare float64
}

// Result is the outcome of an admitted request, as far as it concerns the limit.
type Result int

// The results of an admitted request.
const (
	// Succeeded means that it was answered; the limit may grow.
	Succeeded Result = iota
	// Overloaded means that upstreams refused it or were too slow; the limit shrinks.
	Overloaded
	// Ignored means that the outcome tells nothing about the load; the limit stays.
	Ignored
)

// Permit represents an admitted request. It must be released exactly once.
type Permit struct {
	limiter    *Limiter
	deployment *deploymentLimiter
	caller     *callerState
	capacity   float64
}

// Admit admits a request or refuses it at once with problem.Overloaded.
func (l *Limiter) Admit(req Request) (*Permit, error) {
	now := l.Timer.Now()
	d := l.forDeployment(req.Deployment)
	d.initLimit(req.Capacity)
	s := d.trackCaller(req.Caller, req.Weight, now)
	limit := d.currentLimit()
	n := float64(d.inFlight.Add(1))
	if reason := refusalReason(d, s, &req, limit, n); reason != "" {
		d.inFlight.Add(-1)
		return nil, problem.Overloaded.Withf("deployment %q: %s", req.Deployment, reason).
			WithRetryAfter(retryDelay(n/limit, req.Usage))
	}
	s.inFlight.Add(1)
	return &Permit{
		limiter:    l,
		deployment: d,
		caller:     s,
		capacity:   req.Capacity,
	}, nil
}

// refusalReason returns why a request is refused, or "" if it is admitted. n is the
// number of requests in flight, including this one.
func refusalReason(d *deploymentLimiter, s *callerState, req *Request, limit, n float64) string {
	if n > math.Max(1, limit*req.Priority.limitShare()) {
		return "the concurrency limit is reached for priority " + req.Priority.String()
	}
	if req.reachedClaim(s) {
		return "the caller's share of the slots is in use and other callers claim the rest"
	}
	if req.Usage > req.maxUsage() {
		return "its upstreams are too busy for priority " + req.Priority.String()
	}
	if n > limit*fairShareThreshold && d.reachedFairShare(s, limit) {
		return "the caller's fair share of the limit is in use"
	}
	return ""
}

// claimMaxUsage is the usage limit for a caller that has not used up the share it
// claims, so that it is admitted although others have filled all slots.
const claimMaxUsage = 1.6

// contended reports whether the request claims a share of the slots and other callers
// claim the rest.
func (req *Request) contended() bool { return req.ClaimedShare > 0 && req.ClaimedShare < 1 }

// reachedClaim reports whether the caller's requests in flight have reached the share
// it claims. The share is taken of the usage that the class is allowed in total, so
// that all claims together fill it. The current usage of others is not considered: it
// is known late, and two callers that relied on it would each take what the other one
// seems to leave free.
func (req *Request) reachedClaim(s *callerState) bool {
	return req.contended() && float64(s.inFlight.Load()) >= max(1, req.ClaimedShare*req.Slots*req.Priority.maxUsage())
}

// maxUsage returns the usage of the deployment above which the request is refused.
func (req *Request) maxUsage() float64 {
	if req.contended() {
		return claimMaxUsage
	}
	return req.Priority.maxUsage()
}

// Release ends the request and adapts the limit to the result.
func (p *Permit) Release(r Result) {
	p.caller.inFlight.Add(-1)
	p.deployment.inFlight.Add(-1)
	switch r {
	case Succeeded:
		p.deployment.increase(p.capacity)
	case Overloaded:
		p.deployment.decrease(p.limiter.Timer.Now())
	}
}

// Load returns the used fraction of the limit of the most loaded deployment, from 0
// to 1.
func (l *Limiter) Load() float64 {
	most := 0.0
	l.deployments.Range(func(_, v any) bool {
		d := v.(*deploymentLimiter)
		if limit := d.currentLimit(); limit > 0 {
			most = max(most, float64(d.inFlight.Load())/limit)
		}
		return true
	})
	return min(1, most)
}

// Limit returns the limit of a deployment and its requests in flight.
func (l *Limiter) Limit(deployment string) (limit float64, inFlight int64) {
	d := l.forDeployment(deployment)
	return d.currentLimit(), d.inFlight.Load()
}

// forDeployment returns the limiter of a deployment, which it creates if needed.
func (l *Limiter) forDeployment(deployment string) *deploymentLimiter {
	if v, ok := l.deployments.Load(deployment); ok {
		return v.(*deploymentLimiter)
	}
	v, _ := l.deployments.LoadOrStore(deployment, &deploymentLimiter{})
	return v.(*deploymentLimiter)
}

// Bounds of the delay after which a refused caller is told to retry.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// retryDelay returns after what delay a refused caller should retry. It grows with
// fill, the requests in flight relative to the limit, and with used, the used fraction
// of the slots. It is randomized, so that refused callers don't all retry at once.
func retryDelay(fill, used float64) time.Duration {
	base := float64(minRetryDelay) * (1 + max(0, fill-1) + max(0, used))
	d := time.Duration(base * (0.5 + rand.Float64()))
	return min(max(d, minRetryDelay), maxRetryDelay)
}

package forward

import (
	"time"
)

// The limits of forwarding one request.
const (
	// defaultTimeout applies if neither the route nor the caller sets a time limit.
	defaultTimeout = 30 * time.Second
	// maxSends limits the attempts of a request, including refused ones, which
	// would otherwise be repeated in a loop while a service is full.
	maxSends = 6
	// minTimeLeft is the time that must be left for another attempt; with less, it
	// would time out before an upstream answers.
	minTimeLeft = 20 * time.Millisecond
	// hedgeObjectiveShare is the fraction of the route's latency objective after
	// which a second attempt is started, so that it can still meet the objective.
	hedgeObjectiveShare = 0.45
	// hedgePaceFactor is how many times the median duration an attempt may take
	// before a second one is started; with a lower factor, the second attempts of
	// ordinary requests would cost more than they save.
	hedgePaceFactor = 2
	// minHedgeDelay keeps routes with a tight objective from doubling their load by
	// hedging.
	minHedgeDelay = 30 * time.Millisecond
	// slowAttemptFactor is how many times as long as the winner a cancelled attempt
	// must have taken to count as a failure of its upstream.
	slowAttemptFactor = 2
	// retryAfterNoUpstream and retryAfterRefused tell callers when to retry: the
	// list of upstreams changes within seconds, while a full service has free slots
	// within some tenths of a second.
	retryAfterNoUpstream = 500 * time.Millisecond
	retryAfterRefused    = 100 * time.Millisecond
	// retryAfterEvacuated is for a service whose failure domains are all evacuated, until an
	// operator takes one back.
	retryAfterEvacuated = 2 * time.Second
	// retryAfterRegionsEmpty is for requests that no region may serve until an operator has
	// changed the configuration.
	retryAfterRegionsEmpty = 5 * time.Second
)

// hedgeDelay returns how long to wait for the attempts in flight before a second one is
// considered.
func (d *dispatch) hedgeDelay() time.Duration {
	share := time.Duration(hedgeObjectiveShare * float64(d.req.Route.Objective))
	medianPace := time.Duration(hedgePaceFactor * float64(d.medianPace()))
	return max(share, medianPace, minHedgeDelay)
}

// medianPace returns the median duration of requests at the upstreams of the group, or
// zero while it is unknown.
func (d *dispatch) medianPace() time.Duration {
	return time.Duration(d.group.Set.MedianPace() * float64(time.Second))
}

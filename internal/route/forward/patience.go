package forward

import (
	"time"
)

// The limits of a trip.
const (
	// defaultTimeout is for routes without one and callers without a deadline.
	defaultTimeout = 30 * time.Second
	// maxSends bounds how often a request is offered in all, refusals
	// included; a full service would otherwise be asked in a loop.
	maxSends = 6
	// leastLeft is the least time left that makes another attempt worth its
	// while: less is over before an upstream answers.
	leastLeft = 20 * time.Millisecond
	// hedgeShare is the part of the objective after which a second attempt
	// begins, so that it can still make the objective.
	hedgeShare = 0.45
	// hedgePace is how many times the usual pace an attempt may take before a
	// second one begins; below that the second attempts of ordinary requests
	// would cost more than they save.
	hedgePace = 2
	// hedgeLeast keeps routes with a tight objective from doubling their load.
	hedgeLeast = 30 * time.Millisecond
	// slowLoser is how many times longer than the winner an attempt must have
	// taken for it to count against its upstream.
	slowLoser = 2
	// retryAfterNone and retryAfterFull tell callers when to come back: the
	// list of upstreams changes within seconds, a full service has room within
	// some tenths.
	retryAfterNone = 500 * time.Millisecond
	retryAfterFull = 100 * time.Millisecond
)

// patience is how long to wait for the attempts at work before another one.
func (t *trip) patience() time.Duration {
	share := time.Duration(hedgeShare * float64(t.req.Route.Objective))
	pace := time.Duration(hedgePace * float64(t.pace()))
	return max(share, pace, hedgeLeast)
}

// pace is the median pace of the group, or zero while none is known.
func (t *trip) pace() time.Duration {
	return time.Duration(t.group.Set.MedianPace() * float64(time.Second))
}

package admission

import (
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Class is the class of a request; lower ones are served first.
type Class uint8

// The classes.
const (
	// Interactive requests have a caller that waits for the answer.
	Interactive Class = iota
	// Reward calls score the texts of a step.
	Reward
	// Background requests can wait for all others.
	Background

	classes = 3
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string { return [classes]string{"interactive", "reward", "background"}[c] }

// Request describes a request to a Gate.
type Request struct {
	// ID identifies the request when its caller sends it again.
	ID           string
	Class        Class
	Organisation string
	// Weight is the weight of the organisation; 0 means 1.
	Weight float64
	// OrganisationPriority takes precedence over RoutePriority; 0 is the highest.
	OrganisationPriority int
	RoutePriority        int
	// Deadline is when the answer is needed. The request is refused once it can't be met;
	// zero means that it waits until it is withdrawn.
	Deadline timer.Instant
	// Stream means that the whole answer must have come by the Deadline, not only its beginning.
	Stream bool
	// Due orders requests without a Deadline.
	Due timer.Instant
	// Revalidator is asked while the request waits whether it still belongs to this gate; it
	// may be nil.
	Revalidator Revalidator
}

// Revalidator tells whether a waiting request still belongs to its gate.
type Revalidator interface {
	// Changed returns a channel that is closed when Revalidate is to be called.
	Changed() <-chan struct{}
	// Revalidate reports whether the request keeps its place. If not, it is withdrawn.
	Revalidate() bool
}

// changed returns the channel of the Revalidator, or nil if there is none.
func (r *Request) changed() <-chan struct{} {
	if r.Revalidator == nil {
		return nil
	}
	return r.Revalidator.Changed()
}

func (r *Request) rank() rank {
	if r.Class != Interactive {
		return rank{}
	}
	return rank{
		organisation: r.OrganisationPriority,
		route:        r.RoutePriority,
	}
}

func (r *Request) weight() float64 {
	if r.Weight == 0 {
		return 1
	}
	return r.Weight
}

func (r *Request) orderedBy() timer.Instant {
	if r.Deadline != 0 {
		return r.Deadline
	}
	return r.Due
}

// Result is how a send ended.
type Result uint8

// The results.
const (
	// Answered means that the upstream answered.
	Answered Result = iota
	// Refused means that the upstream refused the request.
	Refused
	// Ended means that the send ended in another way, which says nothing about the load.
	Ended
)

// Refusal is why and how a request was refused.
type Refusal struct {
	// Reason is empty if the request was not refused.
	Reason       string
	Waiting      int
	Window       float64
	ExpectedWait time.Duration
	RetryAfter   time.Duration
}

// The reasons of refusals.
const (
	// ReasonDeadline means that the request can't be answered before its deadline.
	ReasonDeadline = "deadline"
	// ReasonQueueFull means that too many requests wait.
	ReasonQueueFull = "queue_full"
	// ReasonNoUpstream means that the service has no upstream left.
	ReasonNoUpstream = "no_upstream"
)

// Timing is how long a send took.
type Timing struct {
	// Answer is the time until the answer was complete or, if it streams, began.
	Answer time.Duration
	// Occupied is the time until the send left the upstream.
	Occupied time.Duration
}

// smooth adds a measurement to a smoothed time in nanoseconds.
func smooth(smoothed *float64, measured time.Duration) {
	if measured <= 0 {
		return
	}
	if *smoothed == 0 {
		*smoothed = float64(measured)
	}
	*smoothed += serviceTimeWeight * (float64(measured) - *smoothed)
}

// Report is what the answer of an upstream says about its load.
type Report struct {
	Known   bool
	Waiting int
	Slots   int
}

package slowstart

import (
	"math"
	"time"
)

const (
	// permitValidity is how long after it was taken a permit may be used. A connection within
	// a region is ready within a few milliseconds.
	permitValidity = 100 * time.Millisecond
	// window is the length of the time windows in which requests are bounded. Requests that
	// are written within one have permits of a span that is longer by permitValidity.
	window = time.Second
	// maxShares bounds the instances that send to one cold upstream.
	maxShares = 4
)

// Terms are the bounds for the requests to a cold upstream.
type Terms struct {
	// Rate is the number of requests per second that a cold upstream can take. In any second,
	// at most Rate times Overage plus Slack may reach it.
	Rate, Overage, Slack float64
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
}

// Shares returns how many instances may send to one cold upstream, and the interval between two
// requests of each. It returns 0 if nothing may be sent.
func (t Terms) Shares() (n int, interval time.Duration) {
	allowed := t.Rate*t.Overage + t.Slack
	if !(t.Rate > 0) || !(allowed >= 2) {
		return 0, 0
	}
	for n := maxShares; n >= 1; n-- {
		interval := intervalFor(float64(n) / t.Rate)
		if float64(n)*mostInWindow(interval) <= allowed {
			return n, interval
		}
	}
	// The shortest interval with mostInWindow(interval) <= allowed.
	return 1, time.Duration(float64(window+permitValidity)/(math.Floor(allowed)-1)) + 1
}

// mostInWindow returns the largest number of requests that one instance sends within a window: one
// for each permit, and one more if it was paused between the check of a permit and the write.
func mostInWindow(interval time.Duration) float64 {
	return float64((window+permitValidity)/interval) + 2
}

// maxInterval is the longest interval between two permits.
const maxInterval = time.Hour

// intervalFor returns a number of seconds as an interval, rounded up.
func intervalFor(seconds float64) time.Duration {
	return time.Duration(math.Ceil(min(seconds, maxInterval.Seconds()) * float64(time.Second)))
}

package timer

import "time"

// Instant is a point on a monotonic clock that also counts time spent
// suspended. Instants of different processes can't be compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Service is a clock with timers.
type Service interface {
	// Now returns the current instant.
	Now() Instant
	// Every returns a subscription that fires once each period.
	Every(period time.Duration) *Subscription
	// Once returns a subscription that fires a single time after d.
	Once(d time.Duration) *Subscription
}

// Subscription delivers instants on C until it is closed. At most one tick is
// buffered: a subscriber that falls behind misses the others.
type Subscription struct {
	C     <-chan Instant
	close func()
}

// Close ends the subscription. It may be called more than once.
func (s *Subscription) Close() { s.close() }

// Wait blocks for d or until done is closed, and reports whether d passed.
func Wait(svc Service, d time.Duration, done <-chan struct{}) bool {
	sub := svc.Once(d)
	defer sub.Close()
	select {
	case <-sub.C:
		return true
	case <-done:
		return false
	}
}

// Poll polls condition at the given interval until it holds, timeout has passed or
// done is closed, and reports whether it holds. Use it for conditions that no channel
// signals.
func Poll(svc Service, interval, timeout time.Duration, done <-chan struct{}, condition func() bool) bool {
	for waited := time.Duration(0); waited < timeout; waited += interval {
		if condition() {
			return true
		}
		if !Wait(svc, interval, done) {
			break
		}
	}
	return condition()
}

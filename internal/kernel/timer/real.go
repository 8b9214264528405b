package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Real is a Service on the machine's clock. Its zero value works.
type Real struct{}

// Now reads the boot clock (CLOCK_BOOTTIME), which counts time that the machine is
// suspended. The ordinary monotonic clock stops during that time, so a lease holder
// that was suspended beyond the end of its lease would believe that it still holds
// it.
func (Real) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

// processStart is the origin of instants when the boot clock can't be read.
var processStart = time.Now()

// Every implements Service.
func (r Real) Every(period time.Duration) *Subscription {
	c := make(chan Instant, 1)
	done := make(chan struct{})
	ticker := time.NewTicker(period)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				trySend(c, r.Now())
			case <-done:
				return
			}
		}
	}()
	return newSubscription(c, done)
}

// Once implements Service.
func (r Real) Once(d time.Duration) *Subscription {
	c := make(chan Instant, 1)
	t := time.AfterFunc(d, func() { trySend(c, r.Now()) })
	return &Subscription{
		C:     c,
		close: func() { t.Stop() },
	}
}

func newSubscription(c chan Instant, done chan struct{}) *Subscription {
	var once sync.Once
	return &Subscription{
		C:     c,
		close: func() { once.Do(func() { close(done) }) },
	}
}

// trySend sends now on c without blocking. It drops the tick when the receiver has
// not taken the one before.
func trySend(c chan Instant, now Instant) {
	select {
	case c <- now:
	default:
	}
}

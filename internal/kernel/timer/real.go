package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Real is a Service on the machine's clock. Its zero value works.
type Real struct{}

// Now reads the boot clock. The ordinary monotonic clock stands still while
// the machine is suspended: a lease holder that slept through its lease would
// then believe that it still holds it. The boot clock counts the pause.
func (Real) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

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
				offer(c, r.Now())
			case <-done:
				return
			}
		}
	}()
	return subscription(c, done)
}

// Once implements Service.
func (r Real) Once(d time.Duration) *Subscription {
	c := make(chan Instant, 1)
	t := time.AfterFunc(d, func() { offer(c, r.Now()) })
	return &Subscription{
		C:     c,
		close: func() { t.Stop() },
	}
}

func subscription(c chan Instant, done chan struct{}) *Subscription {
	var once sync.Once
	return &Subscription{
		C:     c,
		close: func() { once.Do(func() { close(done) }) },
	}
}

func offer(c chan Instant, now Instant) {
	select {
	case c <- now:
	default:
	}
}

package timeofday

import (
	"slices"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// The limits of an estimate.
const (
	// keep is how long the clock of another instance counts after it was heard.
	keep = 10 * time.Second
	// enough is how many clocks an estimate needs that others may take.
	enough = 3
	// mostHeard bounds the clocks that are remembered.
	mostHeard = 64
)

// Reading is an estimate of the time of day.
type Reading struct {
	// UnixMicro is the time in microseconds since the start of 1970.
	UnixMicro int64
	// Clocks is how many clocks it is made from.
	Clocks int
}

// Clock estimates the time of day. Its zero value with Timer and Wall works.
type Clock struct {
	Timer timer.Service
	// Wall returns this instance's own time of day.
	Wall func() time.Time

	mu    sync.Mutex
	heard map[string]sample
	// adopted is the estimate of another instance.
	adopted sample
}

// sample is how far a time of day was ahead of the timer service.
type sample struct {
	ahead time.Duration
	at    timer.Instant
}

func sampleOf(wall time.Time, at timer.Instant) sample {
	return sample{
		ahead: time.Duration(wall.UnixNano() - int64(at)),
		at:    at,
	}
}

// Heard notes the time of day that another instance had a moment ago.
func (c *Clock) Heard(instance string, wall time.Time) {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard == nil {
		c.heard = make(map[string]sample)
	}
	if _, known := c.heard[instance]; !known && len(c.heard) >= mostHeard {
		c.forget(now)
		if len(c.heard) >= mostHeard {
			return
		}
	}
	c.heard[instance] = sampleOf(wall, now)
}

// forget drops the clocks that were not heard lately. The lock is held.
func (c *Clock) forget(now timer.Instant) {
	for instance, s := range c.heard {
		if now.Sub(s.at) > keep {
			delete(c.heard, instance)
		}
	}
}

// Adopt takes the estimate of another instance, which was made at an instant or shortly
// after. One from few clocks is no better than this instance's own.
func (c *Clock) Adopt(r Reading, at timer.Instant) {
	if r.Clocks < enough {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adopted = sampleOf(time.UnixMicro(r.UnixMicro), at)
}

// Read returns the estimate of now from what this instance heard itself.
func (c *Clock) Read() Reading {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead, clocks := c.middle(now)
	return Reading{
		UnixMicro: (int64(now) + int64(ahead)) / int64(time.Microsecond),
		Clocks:    clocks,
	}
}

// Now returns the time of day as far as it is known.
func (c *Clock) Now() time.Time {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead, clocks := c.middle(now)
	if clocks < enough && c.adopted.at != 0 {
		// An older one is still better than a single clock, which may have jumped.
		ahead = c.adopted.ahead
	}
	return time.Unix(0, int64(now)+int64(ahead))
}

// middle returns how far the middle one of all clocks is ahead of the timer service, and
// how many there are. The lock is held.
func (c *Clock) middle(now timer.Instant) (time.Duration, int) {
	all := make([]time.Duration, 0, len(c.heard)+1)
	all = append(all, sampleOf(c.Wall(), now).ahead)
	for _, s := range c.heard {
		if now.Sub(s.at) <= keep {
			all = append(all, s.ahead)
		}
	}
	slices.Sort(all)
	return all[len(all)/2], len(all)
}

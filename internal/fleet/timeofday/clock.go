package timeofday

import (
	"slices"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Limits of an estimate.
const (
	// sampleTTL is how long a sample of another instance's clock is used.
	sampleTTL = 10 * time.Second
	// minClocks is the number of clocks that an estimate needs to be adopted by other
	// instances, or to be preferred to an adopted one.
	minClocks = 3
	// maxSamples bounds the number of instances whose clocks are remembered.
	maxSamples = 64
)

// Estimate is an estimate of the time of day.
type Estimate struct {
	// UnixMicro is the estimated time in microseconds since the Unix epoch, the start
	// of 1970.
	UnixMicro int64
	// Clocks is the number of clocks that the estimate is based on.
	Clocks int
}

// Clock estimates the time of day. It needs Timer and Wall; its other fields may be
// zero.
type Clock struct {
	Timer timer.Service
	// Wall returns the time of day of this instance's own clock.
	Wall func() time.Time

	mu sync.Mutex
	// samples holds the latest sample of each other instance's clock.
	samples map[string]sample
	// adopted is the latest estimate taken over from another instance.
	adopted sample
}

// sample is the offset of a time of day from the timer service, and when it was taken.
type sample struct {
	offset time.Duration
	at     timer.Instant
}

// newSample returns the sample of a wall time that was read at an instant.
func newSample(wall time.Time, at timer.Instant) sample {
	return sample{
		offset: time.Duration(wall.UnixNano() - int64(at)),
		at:     at,
	}
}

// AddSample records the time of day that another instance sent a moment ago. If the clocks
// of maxSamples instances are remembered already, that of a further one is ignored.
func (c *Clock) AddSample(instance string, wall time.Time) {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.samples == nil {
		c.samples = make(map[string]sample)
	}
	if _, known := c.samples[instance]; !known && len(c.samples) >= maxSamples {
		c.dropExpired(now)
		if len(c.samples) >= maxSamples {
			return
		}
	}
	c.samples[instance] = newSample(wall, now)
}

// dropExpired removes the samples that are older than sampleTTL. The caller holds the
// lock.
func (c *Clock) dropExpired(now timer.Instant) {
	for instance, s := range c.samples {
		if now.Sub(s.at) > sampleTTL {
			delete(c.samples, instance)
		}
	}
}

// Adopt takes over the estimate of another instance, which was made at the given
// instant or shortly after. An estimate from fewer than minClocks clocks is ignored, as
// it is no better than this instance's own.
func (c *Clock) Adopt(estimate Estimate, at timer.Instant) {
	if estimate.Clocks < minClocks {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adopted = newSample(time.UnixMicro(estimate.UnixMicro), at)
}

// Estimate returns the estimate of the current time from this instance's own clock and
// samples, without an adopted estimate.
func (c *Clock) Estimate() Estimate {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	offset, clocks := c.medianOffset(now)
	return Estimate{
		UnixMicro: (int64(now) + int64(offset)) / int64(time.Microsecond),
		Clocks:    clocks,
	}
}

// Now returns the best estimate of the current time: this instance's own if it is based
// on at least minClocks clocks or nothing was adopted, else the adopted one.
func (c *Clock) Now() time.Time {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	offset, clocks := c.medianOffset(now)
	if clocks < minClocks && c.adopted.at != 0 {
		// Even an old adopted estimate is better than that of few clocks, one of which
		// may have jumped.
		offset = c.adopted.offset
	}
	return time.Unix(0, int64(now)+int64(offset))
}

// medianOffset returns the median offset of all clocks from the timer service, and the
// number of clocks. The caller holds the lock.
func (c *Clock) medianOffset(now timer.Instant) (time.Duration, int) {
	offsets := make([]time.Duration, 0, len(c.samples)+1)
	offsets = append(offsets, newSample(c.Wall(), now).offset)
	for _, s := range c.samples {
		if now.Sub(s.at) <= sampleTTL {
			offsets = append(offsets, s.offset)
		}
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2], len(offsets)
}

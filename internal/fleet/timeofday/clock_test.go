package timeofday

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// trueStart is the true time of day at the start of the timer.
var trueStart = time.UnixMilli(1_700_000_000_000)

// newClock returns a clock whose own time of day deviates from the true one by off.
func newClock(off time.Duration) (*Clock, *timer.Manual) {
	t := &timer.Manual{}
	t.Advance(time.Hour)
	return &Clock{
		Timer: t,
		Wall:  func() time.Time { return trueStart.Add(time.Duration(t.Now()) + off) },
	}, t
}

// trueNow returns the true time of day.
func trueNow(t *timer.Manual) time.Time { return trueStart.Add(time.Duration(t.Now())) }

// Guards against a request that is counted in the wrong window because a clock jumped.
func TestMedianIgnoresClocksThatJump(t *testing.T) {
	is := is.New(t)
	c, clock := newClock(4 * time.Second)
	is.Equal(c.Now(), trueNow(clock).Add(4*time.Second)) // no other clock is known
	c.AddSample("a", trueNow(clock).Add(4*time.Second))
	c.AddSample("b", trueNow(clock))
	c.AddSample("c", trueNow(clock))
	c.AddSample("d", trueNow(clock))
	is.Equal(c.Now(), trueNow(clock))
	is.Equal(c.Estimate().Clocks, 5)
	clock.Advance(sampleTTL / 2)
	is.Equal(c.Now(), trueNow(clock)) // the estimate advances with the timer
	clock.Advance(sampleTTL)
	is.Equal(c.Estimate().Clocks, 1) // the samples have expired
}

// Guards against an instance that gets few heartbeats and relies on its own clock
// alone, though another one has an estimate from enough clocks.
func TestAdoptNeedsEnoughClocks(t *testing.T) {
	is := is.New(t)
	c, clock := newClock(-4 * time.Second)
	estimate := Estimate{
		UnixMicro: trueNow(clock).UnixMicro(),
		Clocks:    minClocks - 1,
	}
	c.Adopt(estimate, clock.Now())
	is.Equal(c.Now(), trueNow(clock).Add(-4*time.Second)) // too few clocks to adopt
	estimate.Clocks = minClocks
	c.Adopt(estimate, clock.Now())
	is.Equal(c.Now(), trueNow(clock))
	clock.Advance(time.Minute)
	is.Equal(c.Now(), trueNow(clock))
}

// Checks that the estimate is within 5 ms of the true time as long as most clocks are,
// whatever the others show.
func TestEstimateFollowsMajorityOfClocks(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		good := rapid.IntRange(1, 20).Draw(t, "good")
		wrong := rapid.IntRange(0, good-1).Draw(t, "wrong")
		c, clock := newClock(0)
		small := rapid.IntRange(-5, 5)
		large := rapid.IntRange(-9000, 9000)
		for i := range good + wrong {
			off := small.Draw(t, "off")
			if i >= good {
				off = large.Draw(t, "jump")
			}
			c.AddSample(string(rune('a'+i)), trueNow(clock).Add(time.Duration(off)*time.Millisecond))
		}
		if d := c.Now().Sub(trueNow(clock)).Abs(); d > 5*time.Millisecond {
			t.Fatalf("off by %s with %d good and %d wrong clocks", d, good, wrong)
		}
	})
}

package timeofday

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

// truth is the time of day at the timer's start.
var truth = time.UnixMilli(1_700_000_000_000)

// newClock returns a clock whose own time of day is off.
func newClock(off time.Duration) (*Clock, *timer.Manual) {
	t := &timer.Manual{}
	t.Advance(time.Hour)
	return &Clock{
		Timer: t,
		Wall:  func() time.Time { return truth.Add(time.Duration(t.Now()) + off) },
	}, t
}

func now(t *timer.Manual) time.Time { return truth.Add(time.Duration(t.Now())) }

// Guards against requests that are counted in another window by a clock that jumped.
func TestClocksThatJumpDontCount(t *testing.T) {
	is := is.New(t)
	c, svc := newClock(4 * time.Second)
	is.Equal(c.Now(), now(svc).Add(4*time.Second)) // nothing else is known
	c.Heard("a", now(svc).Add(4*time.Second))
	c.Heard("b", now(svc))
	c.Heard("c", now(svc))
	c.Heard("d", now(svc))
	is.Equal(c.Now(), now(svc))
	is.Equal(c.Read().Clocks, 5)
	svc.Advance(keep / 2)
	is.Equal(c.Now(), now(svc)) // it goes on
	svc.Advance(keep)
	is.Equal(c.Read().Clocks, 1) // old ones don't count
}

// Guards against the single clock of an instance that gets few heartbeats.
func TestWordOfOneThatHearsManyCounts(t *testing.T) {
	is := is.New(t)
	c, svc := newClock(-4 * time.Second)
	reading := Reading{
		UnixMicro: now(svc).UnixMicro(),
		Clocks:    enough - 1,
	}
	c.Adopt(reading, svc.Now())
	is.Equal(c.Now(), now(svc).Add(-4*time.Second)) // it hears no more than this one
	reading.Clocks = enough
	c.Adopt(reading, svc.Now())
	is.Equal(c.Now(), now(svc))
	svc.Advance(time.Minute)
	is.Equal(c.Now(), now(svc))
}

// As long as most clocks are right within some milliseconds, so is the estimate.
func TestMostClocksDecide(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		good := rapid.IntRange(1, 20).Draw(t, "good")
		wrong := rapid.IntRange(0, good-1).Draw(t, "wrong")
		c, svc := newClock(0)
		small := rapid.IntRange(-5, 5)
		large := rapid.IntRange(-9000, 9000)
		for i := range good + wrong {
			off := small.Draw(t, "off")
			if i >= good {
				off = large.Draw(t, "jump")
			}
			c.Heard(string(rune('a'+i)), now(svc).Add(time.Duration(off)*time.Millisecond))
		}
		if d := c.Now().Sub(now(svc)).Abs(); d > 5*time.Millisecond {
			t.Fatalf("off by %s with %d good and %d wrong clocks", d, good, wrong)
		}
	})
}

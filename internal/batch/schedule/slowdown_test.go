package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against items that are sent to an engine that is four times slower at the moment, and
// against long ones that are kept from a fast engine by noise that is soon over.
func TestSlowdownInPlacement(t *testing.T) {
	is := is.New(t)
	slow := Slowdown{Ratio: 4, Age: 100 * time.Millisecond, Lasts: 100 * time.Millisecond}
	engines := []Engine{
		{FreeSlots: 8, Slots: 8, Pace: 1, SameFailureDomain: true, Slowdown: slow},
		{FreeSlots: 7, Slots: 8, Pace: 1},
	}
	long, unknown := Need{ExpectedDuration: 6 * time.Second}, Need{}
	is.Equal(Pick(engines, long), 1)
	is.Equal(Pick(engines, unknown), 1)
	engines[1].Pace = 1.3
	is.Equal(Pick(engines, long), 0) // an older kind costs 1.8 s, the slowdown half a second
	engines[1].Pace = 1
	engines[0].Slowdown.Age = maxSlowdownAge
	is.Equal(Pick(engines, long), 0) // an old report says nothing
	engines[0].Slowdown = Slowdown{Ratio: 1}
	is.Equal(Pick(engines, long), 0)
}

// Guards against a cost by the slowdown beyond the time for which it lasts.
func TestSlowdownCostIsBounded(t *testing.T) {
	is := is.New(t)
	s := Slowdown{Ratio: 4}
	is.True(s.cost(6*time.Second) <= 0.1)
	is.Equal(s.cost(100*time.Millisecond), 3.0) // ends during the slowdown
	is.Equal(Slowdown{}.cost(time.Second), 0.0)
}

// Guards against streams that leave an engine for noise that its report explains, and against
// streams that stay when the slowness lasts or no report explains it.
func TestSlowdownExplainsSlowStreams(t *testing.T) {
	is := is.New(t)
	interval := 50 * time.Millisecond
	p := Progress{Events: 4, Ran: 800 * time.Millisecond, SinceLastEvent: 500 * time.Millisecond}
	is.True(ShouldMove(p, interval, true))
	p.SlowRatio = 4
	p.Slowdown = Slowdown{Ratio: 4, Age: 800 * time.Millisecond, Lasts: 800 * time.Millisecond}
	is.Equal(ShouldMove(p, interval, true), false)
	p.Slowdown.Lasts = 1100 * time.Millisecond
	is.True(ShouldMove(p, interval, true))
	p.Slowdown, p.SlowRatio = Slowdown{Ratio: 1.2, Age: 800 * time.Millisecond, Lasts: 800 * time.Millisecond}, 1.2
	is.True(ShouldMove(p, interval, true)) // it does not explain this much
	// The slowdown is over, and three events came since at the usual pace.
	over := Progress{Events: 7, Ran: 950 * time.Millisecond, SinceLastEvent: 20 * time.Millisecond}
	is.True(ShouldMove(over, interval, true))
	over.SlowRatio = 4
	is.Equal(ShouldMove(over, interval, true), false)
	lasting := Progress{Events: 11, Ran: 2200 * time.Millisecond, SinceLastEvent: 20 * time.Millisecond, SlowRatio: 4}
	is.True(ShouldMove(lasting, interval, true))
}

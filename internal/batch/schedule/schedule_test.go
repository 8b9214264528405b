package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
)

// Guards against a late step: it waits for its longest items, which alone take as long
// as the step has, so they must not begin last.
func TestLongItemsBeginFirst(t *testing.T) {
	is := is.New(t)
	items := []submission.Item{
		{ID: "short", ExpectedTokens: 10},
		{ID: "unknown"},
		{ID: "long", ExpectedTokens: 900},
		{ID: "middle", ExpectedTokens: 100},
	}
	is.Equal(Order(items, nil), []int{2, 3, 0, 1})
	// The item "short" was long in an earlier step.
	is.Equal(Order(items, map[string]int{"short": 800}), []int{2, 0, 3, 1})
}

// Guards against streams that move from one slow engine to another. Two of nine engines
// are four times slower than usual; a stream that left one of them was sent to the
// other, which had just been emptied, five times in two seconds.
func TestPickPrefersEnginesThatAreNotSlow(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		{FreeSlots: 12, Slots: 12, Pace: 4},
		{FreeSlots: 2, Slots: 12, Pace: 1},
		{FreeSlots: 3, Slots: 12, Pace: 1.1},
		{FreeSlots: 12, Slots: 12, Pace: 3.5, SameFailureDomain: true},
	}
	is.Equal(Pick(engines, Need{}), 2) // the emptier one of those that are not slow
	engines[2].Pace = 1.3
	is.Equal(Pick(engines, Need{}), 1) // one more free slot does not outweigh an older kind
	engines[1].FreeSlots, engines[2].FreeSlots = 0, 0.5
	is.Equal(Pick(engines, Need{}), 3) // only slow engines have a slot: the one in the own failure domain
	engines[1].FreeSlots = 6
	short := Need{ExpectedDuration: time.Second}
	is.Equal(Pick(engines[1:2], short), -1) // half of a fast engine's slots stay free
	short.Overloaded = true
	is.Equal(Pick(engines[1:2], short), 0) // but not if the step can't complete in time
	for i := range engines {
		engines[i].FreeSlots = 0
	}
	is.Equal(Pick(engines, Need{}), -1)
}

// Guards against streams that stay at an engine that becomes unreachable or four times
// slower while a step runs. Reading a prompt again costs milliseconds, waiting costs
// seconds; but an item that failed at every engine stays where it is.
func TestMove(t *testing.T) {
	interval := 40 * time.Millisecond
	for name, c := range map[string]struct {
		p             Progress
		hasFreeEngine bool
		want          bool
	}{
		"at the usual pace":       {Progress{SinceLastEvent: 30 * time.Millisecond, Ran: 400 * time.Millisecond, Events: 10}, true, false},
		"silent":                  {Progress{SinceLastEvent: 310 * time.Millisecond, Ran: time.Second, Events: 10}, true, true},
		"silent, no room":         {Progress{SinceLastEvent: 310 * time.Millisecond, Ran: time.Second, Events: 10}, false, false},
		"four times slower":       {Progress{SinceLastEvent: 50 * time.Millisecond, Ran: 800 * time.Millisecond, Events: 5}, true, true},
		"slow, but just begun":    {Progress{SinceLastEvent: 50 * time.Millisecond, Ran: 300 * time.Millisecond, Events: 2}, true, false},
		"failed at every engine":  {Progress{SinceLastEvent: time.Second, Events: 1, Moves: maxMoves}, true, false},
		"before the first pace":   {Progress{SinceLastEvent: 350 * time.Millisecond}, true, false},
		"silent, no pace known":   {Progress{SinceLastEvent: 400 * time.Millisecond}, true, true},
		"reads prompts of others": {Progress{SinceLastEvent: 200 * time.Millisecond, Ran: 800 * time.Millisecond, Events: 12}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			pace := interval
			if c.p.Events == 0 {
				pace = 0
			}
			is.New(t).Equal(ShouldMove(c.p, pace, c.hasFreeEngine), c.want)
		})
	}
}

package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
)

// A step waits for its longest items, which alone take as long as the step has.
// Begun last they would make it late.
func TestLongItemsBeginFirst(t *testing.T) {
	is := is.New(t)
	items := []submission.Item{
		{ID: "short", ExpectedTokens: 10},
		{ID: "unknown"},
		{ID: "long", ExpectedTokens: 900},
		{ID: "middle", ExpectedTokens: 100},
	}
	is.Equal(Order(items, nil), []int{2, 3, 0, 1})
	// The short one was long in an earlier step.
	is.Equal(Order(items, map[string]int{"short": 800}), []int{2, 0, 3, 1})
}

// Two of nine engines are four times slower than usual. A stream that left one
// of them met the other, which had just been emptied, five times in two seconds.
func TestSlowEnginesGetTheLeftovers(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		{Room: 12, Slots: 12, Pace: 4},
		{Room: 2, Slots: 12, Pace: 1},
		{Room: 3, Slots: 12, Pace: 1.1},
		{Room: 12, Slots: 12, Pace: 3.5, Near: true},
	}
	is.Equal(Pick(engines, Need{}), 2) // the emptier one of those that are not slow
	engines[2].Pace = 1.3
	is.Equal(Pick(engines, Need{}), 1) // one slot more does not make up for an older kind
	engines[1].Room, engines[2].Room = 0, 0.5
	is.Equal(Pick(engines, Need{}), 3) // both slow ones are free: the near one
	engines[1].Room = 6
	short := Need{Lasts: time.Second}
	is.Equal(Pick(engines[1:2], short), -1) // half of a fast engine's slots stay free
	short.Hurried = true
	is.Equal(Pick(engines[1:2], short), 0) // but not where the step can't be whole in time
	for i := range engines {
		engines[i].Room = 0
	}
	is.Equal(Pick(engines, Need{}), -1)
}

// An engine goes dark, or turns four times slower, while a step runs. Reading a
// prompt again costs milliseconds, waiting costs seconds; but a stream that met
// trouble everywhere stays where it is.
func TestMove(t *testing.T) {
	usual := 40 * time.Millisecond
	for name, c := range map[string]struct {
		p    Progress
		room bool
		want bool
	}{
		"at the usual pace":       {Progress{Waited: 30 * time.Millisecond, Ran: 400 * time.Millisecond, Events: 10}, true, false},
		"silent":                  {Progress{Waited: 310 * time.Millisecond, Ran: time.Second, Events: 10}, true, true},
		"silent, no room":         {Progress{Waited: 310 * time.Millisecond, Ran: time.Second, Events: 10}, false, false},
		"four times slower":       {Progress{Waited: 50 * time.Millisecond, Ran: 800 * time.Millisecond, Events: 5}, true, true},
		"slow, but just begun":    {Progress{Waited: 50 * time.Millisecond, Ran: 300 * time.Millisecond, Events: 2}, true, false},
		"trouble everywhere":      {Progress{Waited: time.Second, Events: 1, Moves: mostMoves}, true, false},
		"before the first pace":   {Progress{Waited: 350 * time.Millisecond}, true, false},
		"silent, no pace known":   {Progress{Waited: 400 * time.Millisecond}, true, true},
		"reads prompts of others": {Progress{Waited: 200 * time.Millisecond, Ran: 800 * time.Millisecond, Events: 12}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			pace := usual
			if c.p.Events == 0 {
				pace = 0
			}
			is.New(t).Equal(Move(c.p, pace, c.room), c.want)
		})
	}
}

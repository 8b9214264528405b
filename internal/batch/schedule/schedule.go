package schedule

import (
	"sort"
	"time"

	"github.com/egretbend/egretbend/internal/batch/submission"
)

// Order returns the places of items in the order in which they begin: the
// longest first, by the caller's estimate. A long item alone takes as long as
// the whole step has; begun last, it would make the step late.
func Order(items []submission.Item) []int {
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		return items[order[a]].ExpectedTokens > items[order[b]].ExpectedTokens
	})
	return order
}

// Engine is what a choice knows of one engine.
type Engine struct {
	// Room is how many more requests it takes at once.
	Room float64
	// Slots is how many it takes in all.
	Slots int
	// Pace is its time for an event against the usual one; 1 if unknown.
	Pace float64
	// Near engines are in the own failure domain.
	Near bool
}

// slowPace is from when on an engine counts as slow: its items get the others'
// leftovers only.
const slowPace = 1.8

// Pick returns the engine for the next item, or -1 if none has room. Engines
// that are not slow go first, then those with the most of their slots free;
// near ones win ties.
func Pick(engines []Engine) int {
	best := -1
	for i, e := range engines {
		if e.Room < 1 {
			continue
		}
		if best < 0 || better(e, engines[best]) {
			best = i
		}
	}
	return best
}

func better(a, b Engine) bool {
	slowA, slowB := a.Pace > slowPace, b.Pace > slowPace
	if slowA != slowB {
		return !slowA
	}
	freeA, freeB := a.Room/float64(max(1, a.Slots)), b.Room/float64(max(1, b.Slots))
	if freeA != freeB {
		return freeA > freeB
	}
	return a.Near && !b.Near
}

// Progress is how far one attempt has come.
type Progress struct {
	// Waited is the time since the last event, or since the attempt began.
	Waited time.Duration
	// Ran is the time since the attempt began, Events how many it made.
	Ran    time.Duration
	Events int
	// Moves is how often the item was moved before.
	Moves int
}

// The limits of moving.
const (
	// usualDefault stands in for the usual time of an event until one is known:
	// 64 tokens at 0.6 ms, and half again for a full engine.
	usualDefault = 60 * time.Millisecond
	// stallFactor and stallLeast are from when on a silent stream counts as
	// stalled. Reading a prompt again takes some milliseconds, so moving early
	// costs little; engines pause for some events while they read the prompts
	// of others.
	stallFactor = 6
	stallLeast  = 300 * time.Millisecond
	// paceEvents is how many events tell the pace of an attempt.
	paceEvents = 4
	// paceFactor is how many times slower than usual a stream must be to move.
	paceFactor = 2.2
	// mostMoves bounds the moves of one item; an item that was moved that
	// often meets trouble everywhere.
	mostMoves = 8
)

// Move reports whether an attempt should go on at another engine. room says
// that one that is not slow has a free slot.
func Move(p Progress, usual time.Duration, room bool) bool {
	if !room || p.Moves >= mostMoves {
		return false
	}
	if usual <= 0 {
		usual = usualDefault
	}
	if p.Waited > max(stallFactor*usual, stallLeast) {
		return true
	}
	return p.Events >= paceEvents && p.Ran/time.Duration(p.Events) > time.Duration(paceFactor*float64(usual))
}

// Pending is what was finished and not yet written.
type Pending struct {
	Results int
	// Whole says that a group was completed by them.
	Whole bool
	// Last says that nothing else is to come.
	Last bool
	// Oldest is how long the first of them has waited.
	Oldest time.Duration
	// Left is how many items are unfinished, Items how many there are.
	Left, Items int
}

// The times of writing. Each write is a priced call of the key-value service,
// and trainers read twice a second and use whole groups only.
const (
	writeWhole = 200 * time.Millisecond
	writeRest  = 1200 * time.Millisecond
	// endShare is from when on whole groups are written at once: with a twelfth
	// of the items left a step waits for single items, which come one by one.
	endShare = 12
)

// Write reports whether the finished results are written now.
func Write(p Pending) bool {
	switch {
	case p.Results == 0:
		return false
	case p.Last, p.Whole && p.Left*endShare <= p.Items:
		return true
	case p.Whole:
		return p.Oldest >= writeWhole
	}
	return p.Oldest >= writeRest
}

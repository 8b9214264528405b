package schedule

import (
	"time"
)

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
	// Memory is what an engine has for prompts and texts in tokens, 0 if
	// unknown; Reserved is what the streams there are expected to need in the
	// end.
	Memory, Reserved int64
	// Lent engines are for another model that is at work.
	Lent bool
	// Told is how long ago the engine told its load; never is a long time.
	Told time.Duration
}

// lentTold is up to when a load that an engine told shows that another model leaves
// slots free there.
const lentTold = time.Second

// crowdedItems is how many items for each slot of its own engines make a step crowd
// them.
const crowdedItems = 2

// Crowds reports whether a step with some unfinished items keeps to the engines of its
// model, which have some slots. Homes of several models begin their steps at the same
// moment, and none knows yet what the others send: were each to fill all engines, they
// would hold several times the streams that they have slots for, long ones behind short
// ones. A smaller step is better off with the fastest of all engines.
func Crowds(items, slots int) bool { return slots > 0 && items > crowdedItems*slots }

// Open reports whether an item of a step that crowds its own engines may go to this one.
func (e Engine) Open() bool { return !e.Lent || e.Told <= lentTold && e.Room >= 1 }

// The weights of a choice, as parts of an engine's pace.
const (
	// slotsSlow and textsSlow are how much longer an event takes over the time of a
	// long text at an engine all of whose slots, or all of whose memory is taken.
	slotsSlow = 0.02
	textsSlow = 0.10
	// farCosts is what a text from another failure domain costs against one
	// from the own: little, but nothing else differs between equal engines.
	farCosts = 0.02
	// overCosts is for each time the memory of an engine that its streams are
	// expected to need beyond it. When memory runs out an engine puts streams
	// off, and a long text stands still for longer than it would lose at an engine
	// of an older kind.
	overCosts = 0.5
)

// Cost is the time that an event of one more item takes at the engine, against
// the usual one at an empty engine.
func (e Engine) Cost() float64 {
	slots := 1 - e.Room/float64(max(1, e.Slots))
	texts := slots
	if e.Memory > 0 {
		texts = min(1, float64(e.Reserved)/float64(e.Memory))
	}
	cost := e.kind() * (1 + slotsSlow*slots + textsSlow*texts)
	if !e.Near {
		cost += farCosts
	}
	return cost
}

// kind returns the pace without what it owes to chance and to the streams of a
// moment. Taken as it is measured, it draws several long texts to one of some
// equal engines, and each of them slows the others down.
func (e Engine) kind() float64 {
	if e.Pace <= olderPace {
		return 1
	}
	return e.Pace
}

// Need is what a choice knows of the item.
type Need struct {
	// Lasts is how long the item is expected to run at a usual engine; 0 if
	// unknown.
	Lasts time.Duration
	// Waited is how long it could have begun already.
	Waited time.Duration
	// Hurried says that the step can't be whole in time: no slot stays free.
	Hurried bool
	// Memory is what the item is expected to need in the end, in tokens.
	Memory int64
}

// The limits of short items.
const (
	// shortLasts is up to when an item counts as short. Its end does not bear on
	// the end of its step, which lasts for six seconds and more.
	shortLasts = 1500 * time.Millisecond
	// olderPace is from when on an engine counts as of an older kind.
	olderPace = 1.12
	// oldestPace is from when on an engine counts as failing rather than old. One
	// that has just turned two and a half times slower measures 1.6 at first.
	oldestPace = 1.45
	// shortShare is the part of a fast engine's slots that short items may fill;
	// the more streams an engine has, the longer each event takes, and the long
	// ones there bear on the end of the step.
	shortShare = 0.5
	// shortWait is how long a short item waits for such a slot before it takes
	// any.
	shortWait = 1200 * time.Millisecond
)

// Pick returns the engine for the next item, or -1 if it should wait for one.
// Long items go where events are made fastest. Some of a service's engines may be
// of an older, slower kind; the longest items of a step, which begin first, would
// last longer there than the step has. Short items go to those older engines, and leave half of the fast ones'
// slots free.
func Pick(engines []Engine, n Need) int {
	best := -1
	for i, e := range engines {
		if e.Room < 1 || n.Short() && n.Waited < shortWait && !n.Hurried && e.crowded() {
			continue
		}
		if best < 0 || n.cost(e) < n.cost(engines[best]) {
			best = i
		}
	}
	return best
}

// Short reports whether the item is known to end long before its step.
func (n Need) Short() bool { return n.Lasts > 0 && n.Lasts < shortLasts }

// cost is what the item costs at an engine; lower is better.
func (n Need) cost(e Engine) float64 {
	cost := e.Cost() + overCosts*n.over(e)
	if n.Short() && e.Pace > olderPace && e.Pace < oldestPace {
		return cost - e.Pace
	}
	return cost
}

// over returns by how much of its memory an engine would be over it.
func (n Need) over(e Engine) float64 {
	if e.Memory <= 0 {
		return 0
	}
	return max(0, float64(e.Reserved+n.Memory)/float64(e.Memory)-1)
}

// crowded reports whether short items stay away from a fast engine.
func (e Engine) crowded() bool {
	return e.Pace <= olderPace && e.Room <= (1-shortShare)*float64(e.Slots)
}

// Progress is how far one attempt has come.
type Progress struct {
	// Waited is the time since the last event, or since the attempt began.
	Waited time.Duration
	// Ran is the time since the attempt began, Events how many it made.
	Ran    time.Duration
	Events int
	// Made is how many events the item has in all.
	Made int
	// Moves is how often the item was moved before.
	Moves int
	// Expected is how many events the item is expected to have; 0 if unknown.
	Expected float64
	// Most is how many it has at the most; 0 if unknown.
	Most float64
	// Pace is the pace of its engine against the usual one.
	Pace float64
}

// The limits of moving.
const (
	// usualDefault stands in for the usual time of an event until one is known.
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
	// fasterFactor is how much slower than another engine a stream's own must
	// be for a move that is not needed, above what the paces of equal engines
	// differ by.
	fasterFactor = 1.15
	// fasterGain is what such a move must save: the text is read again, and after
	// a move that was wrong once more.
	fasterGain = 250 * time.Millisecond
	// mostFaster bounds moves that are not needed.
	mostFaster = 3
	// longTail is the part of what an item has already made that is expected to
	// follow when it is beyond its estimate. Lengths have a long tail: the
	// longer a text is, the more is still to come.
	longTail = 0.5
)

// Move reports whether an attempt should go on at another engine because this
// one fails it. room says that one that is not slow has a free slot.
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

// Remaining returns how many events are expected to follow.
func (p Progress) Remaining() float64 {
	made := float64(p.Made)
	left := max(p.Expected-made, longTail*made)
	if p.Most > made {
		return min(left, p.Most-made)
	}
	return left
}

// Gain returns how much earlier an item ends if it goes on at an engine of
// another pace, or zero if a move there is not worth its cost.
func Gain(p Progress, usual time.Duration, pace float64) time.Duration {
	if p.Events < paceEvents || p.Moves >= mostFaster || p.Pace < fasterFactor*pace {
		return 0
	}
	gain := time.Duration(p.Remaining() * float64(usual) * (p.Pace - pace))
	if gain < fasterGain {
		return 0
	}
	return gain
}

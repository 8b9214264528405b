package schedule

import (
	"time"
)

// Engine is the state of one engine that a placement depends on.
type Engine struct {
	// FreeSlots is the number of further requests that the engine takes now.
	FreeSlots float64
	// Slots is the number of requests that it runs at once in total.
	Slots int
	// Pace is its time per event relative to the typical engine: 2 is twice as slow. It
	// is 1 if unknown.
	Pace float64
	// SameFailureDomain reports whether the engine is in the failure domain of this instance.
	SameFailureDomain bool
	// OtherRegion reports whether the engine is in another region than this instance.
	OtherRegion bool
	// Memory is the engine's memory for prompts and outputs in tokens, 0 if unknown;
	// Reserved is what its running streams are expected to need by their end.
	Memory, Reserved int64
	// Streams are its running streams, as far as they are known one by one; Reserved covers
	// all of them.
	Streams []StreamMemory
	// Held reports that the engine is kept for an item that waits for its memory.
	Held bool
	// OtherModel reports whether the engine is assigned to another model that has a step under
	// way.
	OtherModel bool
	// ReportAge is the age of the engine's last load report, a long time if it never sent
	// one.
	ReportAge time.Duration
	// Slowdown is the slowdown of its machine by that report.
	Slowdown Slowdown
	// IdleConnection reports whether this instance has an idle connection to the engine.
	IdleConnection bool
	// Warm reports whether the engine has read the prompt of the item before, and StepItems
	// is the number of items of the step that run at it.
	Warm      bool
	StepItems int
}

// maxOtherModelReportAge is the greatest age of a load report that still shows free
// slots at an engine of another model.
const maxOtherModelReportAge = time.Second

// crowdedItemsPerSlot is the number of unfinished items per slot above which a step
// crowds the engines of its model.
const crowdedItemsPerSlot = 2

// CrowdsOwnEngines reports whether a step with the given number of unfinished items is
// restricted to the engines of its model, which have the given number of slots. Steps
// of several models begin at the same moment, and the instances that run them don't
// know yet what the others send: if each filled all engines, the engines would get
// several times the streams that they have slots for, with long ones behind short ones.
// A smaller step is better off with the fastest of all engines.
func CrowdsOwnEngines(items, slots int) bool { return slots > 0 && items > crowdedItemsPerSlot*slots }

// OpenToCrowdedStep reports whether a step that crowds its own engines may send an item to
// e: e is not assigned to another model, or has recently reported a free slot.
func (e Engine) OpenToCrowdedStep() bool {
	return !e.OtherModel || e.ReportAge <= maxOtherModelReportAge && e.FreeSlots >= 1
}

// Weights of the cost of a placement, as fractions of the typical pace.
const (
	// slotsSlowdown and memorySlowdown are how much longer an event takes, averaged over
	// a long output, when all slots or all memory of the engine are in use.
	slotsSlowdown  = 0.02
	memorySlowdown = 0.10
	// otherDomainCost is added for an engine in another failure domain. It is small, but
	// nothing else differs between equal engines.
	otherDomainCost = 0.02
	// otherRegionCost is added for an engine in another region: each stream begins a round trip
	// later, and its events take up bandwidth between regions. It is less than the loss at an
	// engine whose memory is a fifth fuller.
	otherRegionCost = 0.02
	// memoryExcessCost is multiplied by the expected excess over the engine's memory, as
	// a fraction of that memory. An engine that runs out of memory suspends streams, and
	// a long output then stalls for longer than it would lose at an engine of an older
	// kind.
	memoryExcessCost = 0.5
	// maxConnectionCost bounds the cost of a new connection. It is that of a difference in
	// memory of a fifth, so that no engine is filled for its idle connections.
	maxConnectionCost = 0.02
)

// Cost returns the expected time per event of one more item at the engine, relative to
// an empty typical engine.
func (e Engine) Cost() float64 {
	slots := 1 - e.FreeSlots/float64(max(1, e.Slots))
	memory := slots
	if e.Memory > 0 {
		memory = min(1, float64(e.Reserved)/float64(e.Memory))
	}
	cost := e.denoisedPace() * (1 + slotsSlowdown*slots + memorySlowdown*memory)
	if !e.SameFailureDomain {
		cost += otherDomainCost
	}
	if e.OtherRegion {
		cost += otherRegionCost
	}
	return cost
}

// denoisedPace returns the pace without measurement noise and the effect of the streams
// that run at the moment: any pace up to OlderEnginePace counts as 1. With the pace as
// measured, several long outputs would go to one of some equal engines and slow each
// other down.
func (e Engine) denoisedPace() float64 {
	if e.Pace <= OlderEnginePace {
		return 1
	}
	return e.Pace
}

// Need describes the item that a placement is for.
type Need struct {
	// ExpectedDuration is the item's expected run time at a typical engine; 0 if unknown.
	ExpectedDuration time.Duration
	// Waited is how long the item could have been running already.
	Waited time.Duration
	// Overloaded reports that the step can't complete in time, so that no slots are kept
	// free.
	Overloaded bool
	// Memory is the memory that the item is expected to need by its end, in tokens.
	Memory int64
	// MemoryLeft is the part of Memory that is not yet generated.
	MemoryLeft float64
	// MemorySpread is the standard deviation of what items need from what they are expected
	// to need, as a share of that; 0 if unknown.
	MemorySpread float64
	// WaitedForMemory is how long the item has waited for memory.
	WaitedForMemory time.Duration
	// PromptReading is the time that an engine needs to read the item's prompt; 0 if
	// unknown.
	PromptReading time.Duration
	// LongestDuration is the longest ExpectedDuration of the unfinished items of the step,
	// and StepLoad the share of the slots that those items take; see the function StepLoad.
	LongestDuration time.Duration
	StepLoad        float64
}

// Limits for the placement of short items.
const (
	// maxShortDuration is the expected run time below which an item is short. The end of
	// a short item does not affect the end of its step, which lasts six seconds or more.
	maxShortDuration = 1500 * time.Millisecond
	// OlderEnginePace is the pace above which an engine counts as of an older kind.
	OlderEnginePace = 1.12
	// failingEnginePace is the pace from which on an engine counts as failing rather
	// than old. One that has just become two and a half times slower measures 1.6 at
	// first.
	failingEnginePace = 1.45
	// shortItemSlotShare is the share of a fast engine's slots that short items may
	// fill. Each further stream makes every event at an engine take longer, and the long
	// items there determine the end of the step.
	shortItemSlotShare = 0.5
	// maxShortItemWait is how long a short item waits for such a slot before it takes
	// any.
	maxShortItemWait = 1200 * time.Millisecond
)

// Pick returns the index of the engine for the next item, or -1 if the item should wait
// for one. Long items go to the engines with the fastest events: some engines of a
// service may be of an older, slower kind, and the longest items of a step, which begin
// first, would run there for longer than the step has. Short items go to those older
// engines, and leave half of the slots of the fast ones free. Items that no engine has memory
// for wait.
func Pick(engines []Engine, n Need) int {
	best, wait := n.best(engines)
	if wait > 0 && n.waitsForMemory(halfFull(engines)) {
		return -1
	}
	return best
}

// best returns the index of the engine where the item costs the least, the wait for memory
// included, or -1 if none has a free slot for it, and that wait. An item may wait for a fast
// engine while one of an older kind has memory.
func (n Need) best(engines []Engine) (int, time.Duration) {
	best, least, wait := -1, 0.0, time.Duration(0)
	for i, e := range engines {
		if e.Held || e.FreeSlots < 1 || n.Short() && n.Waited < maxShortItemWait && !n.Overloaded && e.closedToShortItems() {
			continue
		}
		cost := n.cost(e)
		if best >= 0 && cost >= least {
			continue
		}
		w := n.memoryWait(e)
		if w > 0 {
			cost += float64(w) / float64(n.durationOrDefault())
		}
		if best < 0 || cost < least {
			best, least, wait = i, cost, w
		}
	}
	return best, wait
}

// durationOrDefault returns the expected run time, or a default if it is unknown.
func (n Need) durationOrDefault() time.Duration {
	if n.ExpectedDuration <= 0 {
		return unknownDuration
	}
	return n.ExpectedDuration
}

// Short reports whether the item is expected to end long before its step.
func (n Need) Short() bool { return n.ExpectedDuration > 0 && n.ExpectedDuration < maxShortDuration }

// cost returns the cost of the item at an engine; lower is better. Short items prefer
// engines of an older kind that are not failing.
func (n Need) cost(e Engine) float64 {
	cost := e.Cost() + memoryExcessCost*n.memoryExcess(e) + e.Slowdown.cost(n.ExpectedDuration) - n.warmGain(e) + n.connectionCost(e)
	if n.Short() && e.Pace > OlderEnginePace && e.Pace < failingEnginePace {
		return cost - e.Pace
	}
	return cost
}

// connectionCost returns the cost of a new connection to the engine, if one is needed, which
// delays the first event. A quiet day opened 1,000 connections to engines, although streams left
// as many idle.
func (n Need) connectionCost(e Engine) float64 {
	if e.IdleConnection {
		return 0
	}
	return min(maxConnectionCost, float64(connectionTime)/float64(n.durationOrDefault()))
}

// memoryExcess returns by how much the item would exceed the engine's memory, as a
// fraction of that memory. It is 0 if the spread is known, as the item may wait then.
func (n Need) memoryExcess(e Engine) float64 {
	if e.Memory <= 0 || n.MemorySpread > 0 {
		return 0
	}
	return max(0, float64(e.Reserved+n.Memory)/float64(e.Memory)-1)
}

// closedToShortItems reports whether e is a fast engine whose free slots are kept for
// long items.
func (e Engine) closedToShortItems() bool {
	return e.Pace <= OlderEnginePace && e.FreeSlots <= (1-shortItemSlotShare)*float64(e.Slots)
}

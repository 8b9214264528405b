package schedule

import (
	"math"
	"time"
)

// Limits for keeping memory free.
const (
	// maxMemoryMargin bounds the memory that is kept free for items that exceed their
	// estimate, as a share of an engine's memory. Items end at different times, so that their
	// largest sizes rarely meet.
	maxMemoryMargin = 0.25
	// otherStreamsShare is the share of their memory that streams of other batches are taken to
	// need at the same time; halfway through, they take half of their output.
	otherStreamsShare = 0.6
	// defaultTokensPerEvent stands in for the tokens of an event while an item's expected
	// run time is unknown, and minLeft is the least number of tokens that a stream beyond its
	// estimate is taken to generate, some events.
	defaultTokensPerEvent = 50
	minLeft               = 200.0
	// memoryHorizon is how far ahead the memory of an engine is looked at. Later streams may have
	// moved or ended before they reach their estimates: with their sizes at their end items
	// waited while memory was free, and steps ended a fifth later.
	memoryHorizon = time.Second
	// MaxWaiting is the number of queued items that may wait for memory while others are looked
	// for. It bounds the time that a placement takes.
	MaxWaiting = 16
	// maxMemoryWait is how long an item waits for memory while engines are less than half
	// full. It must be sent within 5 s then.
	maxMemoryWait = 2500 * time.Millisecond
)

// StreamMemory is the memory of a stream in tokens: what it takes now, and what it is still
// expected to generate.
type StreamMemory struct{ Size, Left float64 }

// full reports whether the item would not fit the memory of e, less a margin for items that
// exceed their estimates. It is false while their spread is unknown. An empty engine is never
// full, as no other engine has more room.
//
// It is designed for engines with a quarter of the usual memory. An engine that runs out of it
// suspends its newest streams or refuses them, and the longest items of a step stall.
func (n Need) full(e Engine) bool { return n.fullAfter(e, 0) }

// fullAfter is full for a time at which each stream of e will have generated the given number
// of tokens more; those that have fewer left will have ended.
func (n Need) fullAfter(e Engine, tokens float64) bool {
	if n.MemorySpread <= 0 || e.Memory <= 0 || e.Reserved <= 0 {
		return false
	}
	memory := float64(e.Memory)
	if float64(e.Reserved+n.Memory) <= (1-maxMemoryMargin)*memory {
		return false
	}
	peak, deviation := n.peakMemory(e, tokens)
	return peak+min(n.MemorySpread*deviation, maxMemoryMargin*memory) > memory
}

// peakMemory returns the largest memory that the streams of e and the item are expected to take
// at the same time within memoryHorizon, if the item begins when each stream has generated the
// given number of tokens more, and the root of the sum of the squares of their parts in it.
func (n Need) peakMemory(e Engine, tokens float64) (peak, deviation float64) {
	others := float64(e.Reserved)
	for _, s := range e.Streams {
		others -= s.Size + s.Left
	}
	others = max(0, others) * otherStreamsShare
	horizon := float64(memoryHorizon) / n.perToken()
	// The memory grows until a stream ends.
	for i := range len(e.Streams) + 1 {
		at := min(n.MemoryLeft, horizon)
		if i < len(e.Streams) {
			at = min(e.Streams[i].Left-tokens, horizon)
		}
		if at < 0 {
			continue // ended before the item begins
		}
		sum, squares := others, 0.0
		if n.MemoryLeft >= at {
			size := float64(n.Memory) - n.MemoryLeft + at
			sum, squares = sum+size, squares+size*size
		}
		for _, s := range e.Streams {
			if s.Left-tokens >= at {
				size := s.Size + tokens + at
				sum, squares = sum+size, squares+size*size
			}
		}
		if sum > peak {
			peak, deviation = sum, math.Sqrt(squares)
		}
	}
	return peak, deviation
}

// memoryWait returns how long the item would wait for memory at e: until so many streams have
// ended there that it fits.
func (n Need) memoryWait(e Engine) time.Duration {
	if !n.full(e) {
		return 0
	}
	// The least wait is that until one of the streams ends.
	wait := minLeft
	for range e.Streams {
		next := math.Inf(1)
		for _, s := range e.Streams {
			if s.Left >= wait {
				next = min(next, s.Left)
			}
		}
		if math.IsInf(next, 1) {
			break
		}
		wait = next + 1
		if !n.fullAfter(e, wait) {
			break
		}
	}
	return time.Duration(wait * n.perToken() * e.denoisedPace())
}

// perToken returns the typical time that an engine takes for a token, in nanoseconds.
func (n Need) perToken() float64 {
	if n.ExpectedDuration > 0 && n.MemoryLeft > 0 {
		return float64(n.ExpectedDuration) / n.MemoryLeft
	}
	return float64(defaultEventInterval) / defaultTokensPerEvent
}

// waitsForMemory reports whether the item waits rather than being sent to an engine that is
// full. halfFull reports whether at least half of the slots of the engines are taken.
func (n Need) waitsForMemory(halfFull bool) bool {
	return halfFull || n.WaitedForMemory < maxMemoryWait
}

// halfFull reports whether at least half of the slots of the engines are taken.
func halfFull(engines []Engine) bool {
	slots, free := 0.0, 0.0
	for _, e := range engines {
		slots += float64(e.Slots)
		free += max(0, e.FreeSlots)
	}
	return free <= slots/2
}

// MemoryTarget returns the index of the engine whose memory an item waits for, or -1 if it does
// not wait for memory. Items that follow must leave that engine alone; otherwise short ones
// would take the memory whenever some is free, and a long one would wait until the end of its
// step.
func MemoryTarget(engines []Engine, n Need) int {
	best, wait := n.best(engines)
	if wait > 0 && n.waitsForMemory(halfFull(engines)) {
		return best
	}
	return -1
}

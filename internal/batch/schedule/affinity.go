package schedule

import "time"

// Limits for placing an item where its prompt was read before.
const (
	// MaxWarmEngines is the number of engines that are kept as warm for one group. A group
	// of 16 fills two engines of eight slots; more are warm after moves.
	MaxWarmEngines = 4
	// WarmTime is how long after a prompt was sent to an engine it is presumed to be still
	// in the engine's memory, unless the weights change.
	WarmTime = 30 * time.Second
	// maxWarmGain bounds the gain of a warm engine. It is below the difference to an older
	// kind of engine, so that a warm engine is never preferred to a clearly faster one.
	maxWarmGain = 0.1
	// maxWarmLoad is the largest number of items of a step at a warm engine, as a multiple
	// of the engine's even share of the step's items.
	maxWarmLoad = 1.25
	// longItemShare is the share of the longest expected run time in a step from which on
	// an item is long: the end of the step may depend on it.
	longItemShare = 0.5
)

// warmGain returns by how much less an item costs at e because the engine has read its prompt
// for another item of the group.
//
// It is designed for groups of eight to 16 items with a prompt of 260 or 1,000 tokens. Without
// it more than half of the prompt tokens are read at engines although another engine has read
// them before. Reading delays all streams of the engine, by which the gain is counted. The end
// of a step depends on its long items, which spread over the fast engines, so for them only
// their own reading time counts.
func (n Need) warmGain(e Engine) float64 {
	if !e.Warm || float64(e.StepItems+1) > maxWarmLoad*n.StepLoad*float64(e.Slots) {
		return 0
	}
	if n.PromptReading <= 0 || n.ExpectedDuration <= 0 {
		return maxWarmGain / 2
	}
	delayed := 1.0
	if n.ExpectedDuration < time.Duration(longItemShare*float64(n.LongestDuration)) {
		delayed += max(0, float64(e.Slots)-e.FreeSlots)
	}
	return min(maxWarmGain, delayed*float64(n.PromptReading)/float64(n.ExpectedDuration))
}

// Limits of TakeWarm.
const (
	// MaxLookAhead is the number of queued items among which one is looked for that an engine
	// is warm for, eight groups of 16, and maxPassed how often an item may be passed over for
	// another: fewer times than the engines of a model have slots, so that it begins within
	// one turn of them.
	MaxLookAhead = 128
	maxPassed    = 96
	// similarLength is the least expected length of an item, as a share of that of the first
	// one in the queue, that may go before it: the longest items must begin first. The
	// inverse is the greatest length.
	similarLength = 0.6
)

// Queued is an item in the queue of a step.
type Queued struct {
	// Tokens is its expected length, and Passed how often another item went before it.
	Tokens int
	Passed int
	// Warm reports whether the engine at hand has read its prompt, Fresh whether no engine
	// has, so that it is not read again wherever it goes.
	Warm, Fresh bool
}

// TakeWarm returns the index in the queue of an item that may go to the engine at hand in place
// of the first one, which the engine is cold for, or 0 if there is none. While all slots are
// taken, each item goes where one gets free, so that only the order decides about warm prompts.
//
// The queue has the longest items first. A longer one after a shorter one is of groups that the
// trainer does not wait for, which must not go first; or the step is overloaded and groups run
// one after the other. Then the groups that follow overlap: if all engines ran the items of one
// group, each would read its prompt.
func TakeWarm(queue []Queued, overloaded bool) int {
	for i, q := range queue[:min(len(queue), MaxLookAhead)] {
		if i > 0 && q.Tokens > queue[i-1].Tokens && !overloaded {
			return 0
		}
		if i > 0 && (overloaded && (q.Warm || q.Fresh) || q.Warm && similar(q.Tokens, queue[0].Tokens)) {
			return i
		}
		if q.Passed >= maxPassed {
			return 0
		}
	}
	return 0
}

// similar reports whether two expected lengths differ so little that it doesn't matter which
// item begins first.
func similar(x, y int) bool {
	return float64(min(x, y)) >= similarLength*float64(max(x, y))
}

// StepLoad returns the share of the slots of the engines that the unfinished items of a step
// take if they spread evenly over them.
func StepLoad(items int, engines []Engine) float64 {
	slots := 0
	for _, e := range engines {
		slots += e.Slots
	}
	return min(1, float64(items)/float64(max(1, slots)))
}

package schedule

import (
	"slices"
	"time"
)

// Ending describes the unfinished groups of a step, to estimate when the step ends.
type Ending struct {
	// Groups has the expected time until each group is whole, without those in Again.
	Groups []time.Duration
	// Again has the same for groups that are carried over from an earlier step; the
	// trainer waits for each of them.
	Again []time.Duration
	// Missing is the number of further whole groups that the trainer waits for,
	// including those in Again.
	Missing int
}

// Left returns the expected time until all groups that the trainer waits for are whole,
// 0 if that is unknown or they are whole already.
func (e Ending) Left() time.Duration {
	left := time.Duration(0)
	for _, g := range e.Again {
		left = max(left, g)
	}
	others := e.Missing - len(e.Again)
	if others <= 0 {
		return left
	}
	if others > len(e.Groups) {
		return 0
	}
	// The groups that are whole first end the step; the remaining ones are not needed.
	sorted := slices.Sorted(slices.Values(e.Groups))
	return max(left, sorted[others-1])
}

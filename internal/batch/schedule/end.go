package schedule

import (
	"slices"
	"time"
)

// Ending is what is expected of the groups of a step that are not whole yet.
type Ending struct {
	// Groups are the times until each of them is expected to be whole.
	Groups []time.Duration
	// Again are those times of groups that come again from an earlier step; the
	// trainer waits for each of them.
	Again []time.Duration
	// Missing is how many groups more the trainer waits for, those included.
	Missing int
}

// Left returns the time until the groups that the trainer waits for are expected
// to be whole, 0 if that can't be told.
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
	// The first ones end the step; the others need not be made.
	sorted := slices.Sorted(slices.Values(e.Groups))
	return max(left, sorted[others-1])
}

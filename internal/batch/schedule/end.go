package schedule

import (
	"slices"
	"time"
)

// StepEnd describes the unfinished groups of a step, to estimate when the step ends.
type StepEnd struct {
	// Groups has the expected time until each group is whole, except for those in CarriedOver.
	Groups []time.Duration
	// CarriedOver has the same for groups that are carried over from an earlier step; the
	// trainer waits for each of them.
	CarriedOver []time.Duration
	// MissingGroups is the number of further whole groups that the trainer waits for,
	// including those in CarriedOver.
	MissingGroups int
}

// Left returns the expected time until all groups that the trainer waits for are whole,
// 0 if that is unknown or they are whole already.
func (e StepEnd) Left() time.Duration {
	left := time.Duration(0)
	for _, g := range e.CarriedOver {
		left = max(left, g)
	}
	others := e.MissingGroups - len(e.CarriedOver)
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

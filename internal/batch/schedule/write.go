package schedule

import (
	"time"
)

// Pending is what was finished and not yet written.
type Pending struct {
	Results int
	// Whole says that a group was completed by them.
	Whole bool
	// Last says that nothing else is to come.
	Last bool
	// Oldest is how long the first of them has waited.
	Oldest time.Duration
	// WholeGroups is how many groups of the batch are complete, Wanted how many
	// its trainer waits for; 0 if it did not say.
	WholeGroups, Wanted int
}

// The times of writing.
const (
	// writeWhole gathers whole groups of a batch that nobody is known to wait
	// for as a step.
	writeWhole = 200 * time.Millisecond
	// writeRest gathers all other results. A trainer reads twice a second at the
	// most, and a read that finds nothing new is kept waiting for a second. Were
	// single results listed as they come, each read would be answered at once
	// with some of them, and the one that ends the step would wait for the next
	// read, half a second later. With a second and more between two listings the
	// trainer's read is already waiting when the step is whole. Each write is
	// also a priced call of the key-value service.
	writeRest = 1200 * time.Millisecond
)

// Write reports whether the finished results are written, and so listed, now:
// at once when they may end a step, else seldom.
func Write(p Pending) bool {
	switch {
	case p.Results == 0:
		return false
	case p.Last, p.Whole && p.Wanted > 0 && p.WholeGroups >= p.Wanted:
		return true
	case p.Whole && p.Wanted == 0:
		return p.Oldest >= writeWhole
	}
	return p.Oldest >= writeRest
}

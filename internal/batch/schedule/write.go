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
	// Reading is the read that has waited longest for results, if any does.
	Reading Reading
	// Again is how many groups are unfinished that come again from an earlier
	// step. The trainer waits for each of them.
	Again int
}

// The times of writing.
const (
	// writeWhole gathers whole groups of a batch that nobody is known to wait
	// for as a step.
	writeWhole = 200 * time.Millisecond
	// readWaited is how long a read must have waited for its answer to be one
	// that does not end a step. A trainer reads twice a second at the most, and a
	// read that finds nothing new is kept waiting for a second. Were it answered
	// within half a second, the trainer would look away for the rest of that
	// time, and the results that end its step would wait for the next read; after
	// a longer wait it reads again at once. Each write is also a priced call of
	// the key-value service.
	readWaited = 750 * time.Millisecond
	// writeRest is when results are written as soon as that costs no pause, and
	// writeLate when they are in any case: an instance that ends loses no more.
	writeRest = 1200 * time.Millisecond
	writeLate = 2 * time.Second
	// writeNear is when results are written close to the end of a step, where they
	// answer no read: texts that are stored beside them are the longest of the step,
	// and a restart of all instances would make them again.
	writeNear = 600 * time.Millisecond
	// nearGroups is how many groups before the end of a step no read is answered with
	// what does not end it: a read that finds nothing is repeated at once.
	nearGroups = 2
)

// Ends reports whether the pending results may end the step of the batch.
func (p Pending) Ends() bool {
	return p.Last || p.Whole && p.Wanted > 0 && p.WholeGroups >= p.Wanted && p.Again == 0
}

// near reports whether the step may end before a read that begins now has waited
// long enough. With few groups missing an estimate that says otherwise is not
// trusted: all that is left may end any moment, and a read that is answered just
// before the end costs the trainer half a second.
func (p Pending) near() bool {
	if p.Reading.Left > 0 && p.Reading.Left < readPause {
		return true
	}
	return p.Wanted > 0 && p.WholeGroups+nearGroups >= p.Wanted
}

// Tell reports whether reads that wait are answered with results that were just
// listed. Close to the end of a step they wait on for what ends it; results that were
// written for their age alone would make the trainer look away just then.
func Tell(p Pending) bool { return p.Ends() || !p.near() || p.Reading.Turn() }

// Write reports whether the finished results are written, and so listed, now:
// at once when they may end a step, else seldom.
func Write(p Pending) bool {
	switch {
	case p.Results == 0:
		return false
	case p.Ends():
		return true
	case p.Whole && p.Wanted == 0:
		return p.Oldest >= writeWhole
	}
	if p.Oldest >= writeLate || p.Reading.Turn() {
		return true
	}
	if p.near() {
		return p.Oldest >= writeNear
	}
	return p.Reading.Waited >= readWaited || p.Oldest >= writeRest && p.Reading.Waited >= readPause
}

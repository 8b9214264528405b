package schedule

import (
	"time"
)

// Pending describes the finished results of a batch that are not written yet.
type Pending struct {
	// Results is the number of such results.
	Results int
	// Whole reports whether these results complete a group.
	Whole bool
	// Last reports whether no further results are to come.
	Last bool
	// Oldest is how long the first of them has waited.
	Oldest time.Duration
	// WholeGroups is the number of whole groups of the batch, and Wanted the number that
	// its trainer waits for; 0 if it did not say.
	WholeGroups, Wanted int
	// Reading is the read that has waited longest for results, if there is one.
	Reading Reading
	// Again is the number of unfinished groups that are carried over from an earlier
	// step. The trainer waits for each of them.
	Again int
}

// Times and limits for writing results.
const (
	// wholeGroupsDelay is how long results that complete a group are collected if the
	// trainer did not say how many groups it waits for.
	wholeGroupsDelay = 200 * time.Millisecond
	// minReadWaitToWrite is how long a read must have waited before it is answered with
	// results that don't end a step. A trainer reads at most twice a second, and a read
	// that finds nothing new is kept waiting for a second. If it were answered within
	// half a second, the trainer would not read for the rest of that time, and the
	// results that end its step would wait for the next read; after a longer wait it
	// reads again at once. Each write is also a billed call of the key-value service.
	minReadWaitToWrite = 750 * time.Millisecond
	// preferredWriteAge is the age of the oldest result from which on results are
	// written as soon as that does not make the trainer pause; maxWriteAge is the age
	// from which on they are always written. This bounds what is lost when an instance
	// ends.
	preferredWriteAge = 1200 * time.Millisecond
	maxWriteAge       = 2 * time.Second
	// nearEndWriteAge is the age from which on results are written close to the end of a
	// step, where they answer no read. The unfinished texts that are stored with them
	// are the longest of the step, and would have to be made again after a restart of
	// all instances.
	nearEndWriteAge = 600 * time.Millisecond
	// nearEndGroups is how many groups before the end of a step reads are no longer
	// answered with results that don't end it: a read that finds nothing is repeated at
	// once.
	nearEndGroups = 2
)

// Ends reports whether the pending results may end the step of the batch.
func (p Pending) Ends() bool {
	return p.Last || p.Whole && p.Wanted > 0 && p.WholeGroups >= p.Wanted && p.Again == 0
}

// nearEnd reports whether the step may end before a read that begins now has waited for
// minReadWait. With few groups missing, an estimate of a later end is not trusted: all
// that is left may end at any moment, and a read that is answered just before the end
// costs the trainer half a second.
func (p Pending) nearEnd() bool {
	if p.Reading.Left > 0 && p.Reading.Left < minReadWait {
		return true
	}
	return p.Wanted > 0 && p.WholeGroups+nearEndGroups >= p.Wanted
}

// Tell reports whether waiting reads are answered with results that were just listed.
// Close to the end of a step they keep waiting for the results that end it: answered
// with results that were written only because of their age, the trainer would pause just
// when the step ends.
func Tell(p Pending) bool { return p.Ends() || !p.nearEnd() || p.Reading.Turn() }

// Write reports whether the finished results are to be written, and so listed, now.
// Results that may end a step are written at once, others seldom.
func Write(p Pending) bool {
	switch {
	case p.Results == 0:
		return false
	case p.Ends():
		return true
	case p.Whole && p.Wanted == 0:
		return p.Oldest >= wholeGroupsDelay
	}
	if p.Oldest >= maxWriteAge || p.Reading.Turn() {
		return true
	}
	if p.nearEnd() {
		return p.Oldest >= nearEndWriteAge
	}
	return p.Reading.Waited >= minReadWaitToWrite || p.Oldest >= preferredWriteAge && p.Reading.Waited >= minReadWait
}

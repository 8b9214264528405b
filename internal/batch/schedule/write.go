package schedule

import (
	"time"
)

// Pending describes the finished results of a batch that are not written yet.
type Pending struct {
	// Results is the number of such results.
	Results int
	// CompletesGroup reports whether these results complete a group.
	CompletesGroup bool
	// NoMoreResults reports whether no further results are to come.
	NoMoreResults bool
	// OldestAge is how long the first of them has waited.
	OldestAge time.Duration
	// WholeGroups is the number of whole groups of the batch, and WantedGroups the number
	// that its trainer waits for; 0 if it did not say.
	WholeGroups, WantedGroups int
	// Reading is the read that has waited longest for results, if there is one.
	Reading PendingRead
	// CarriedOver is the number of unfinished groups that are carried over from an earlier
	// step. The trainer waits for each of them.
	CarriedOver int
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
	// crashes.
	preferredWriteAge = 1200 * time.Millisecond
	maxWriteAge       = 2 * time.Second
	// nearEndWriteAge is the age from which on results are written close to the end of a
	// step, where they answer no read. The unfinished texts that are stored with them
	// are the longest of the step, and would have to be generated again after a restart
	// of all instances.
	nearEndWriteAge = 600 * time.Millisecond
	// nearEndGroups is how many groups before the end of a step reads are no longer
	// answered with results that don't end it: a read that finds nothing is repeated at
	// once.
	nearEndGroups = 2
)

// EndsStep reports whether the pending results may end the step of the batch.
func (p Pending) EndsStep() bool {
	return p.NoMoreResults || p.CompletesGroup && p.WantedGroups > 0 && p.WholeGroups >= p.WantedGroups && p.CarriedOver == 0
}

// nearEnd reports whether the step may end before a read that begins now has waited for
// minReadWait. With few groups missing, an estimate of a later end is not trusted: all
// that is left may end at any moment, and a read that is answered just before the end
// costs the trainer half a second.
func (p Pending) nearEnd() bool {
	if p.Reading.UntilEnd > 0 && p.Reading.UntilEnd < minReadWait {
		return true
	}
	return p.WantedGroups > 0 && p.WholeGroups+nearEndGroups >= p.WantedGroups
}

// ShouldAnswerReads reports whether waiting reads are answered with results that were
// just listed. Close to the end of a step they keep waiting for the results that end
// it: answered with results that were written only because of their age, the trainer
// would pause just when the step ends.
func ShouldAnswerReads(p Pending) bool {
	return p.EndsStep() || !p.nearEnd() || p.Reading.AnswerEarly()
}

// ShouldWrite reports whether the finished results are to be written, and so listed, now.
// Results that may end a step are written at once, others seldom.
func ShouldWrite(p Pending) bool {
	switch {
	case p.Results == 0:
		return false
	case p.EndsStep():
		return true
	case p.CompletesGroup && p.WantedGroups == 0:
		return p.OldestAge >= wholeGroupsDelay
	}
	if p.OldestAge >= maxWriteAge || p.Reading.AnswerEarly() {
		return true
	}
	if p.nearEnd() {
		return p.OldestAge >= nearEndWriteAge
	}
	return p.Reading.Waited >= minReadWaitToWrite || p.OldestAge >= preferredWriteAge && p.Reading.Waited >= minReadWait
}

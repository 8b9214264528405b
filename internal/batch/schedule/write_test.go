package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against results that are written too often or too late. Each write is a billed
// call, and a trainer that gets single results at every read does not read for half a
// second, just when its step may become whole.
func TestWrite(t *testing.T) {
	is := is.New(t)
	is.Equal(ShouldWrite(Pending{}), false)
	is.Equal(ShouldWrite(Pending{Results: 1, OldestAge: time.Second, WantedGroups: 9}), false)
	is.Equal(ShouldWrite(Pending{Results: 1, OldestAge: preferredWriteAge, WantedGroups: 9}), false) // no read waits
	is.Equal(ShouldWrite(Pending{Results: 1, OldestAge: maxWriteAge, WantedGroups: 9}), true)
	is.Equal(ShouldWrite(Pending{Results: 1, OldestAge: preferredWriteAge, WantedGroups: 9, Reading: PendingRead{Waited: minReadWait}}), true)
	is.Equal(ShouldWrite(Pending{Results: 1, OldestAge: preferredWriteAge, WantedGroups: 9, Reading: PendingRead{Waited: minReadWait / 2}}), false)
	is.Equal(ShouldWrite(Pending{Results: 1, WantedGroups: 9, WholeGroups: 7, Reading: PendingRead{Waited: minReadWaitToWrite}}), false) // the end is near
	// A read must not be answered just before the end because the estimated end was
	// too late.
	is.Equal(ShouldWrite(Pending{Results: 1, WantedGroups: 9, WholeGroups: 7, Reading: PendingRead{Waited: minReadWaitToWrite, UntilEnd: 2 * time.Second}}), false)
	is.True(ShouldWrite(Pending{Results: 1, WantedGroups: 9, WholeGroups: 6, Reading: PendingRead{Waited: minReadWaitToWrite, UntilEnd: 2 * time.Second}}))
	// Long unfinished texts are stored, or they would be generated again after a restart
	// of all instances.
	is.True(ShouldWrite(Pending{Results: 1, WantedGroups: 9, WholeGroups: 7, OldestAge: nearEndWriteAge}))
	is.True(ShouldAnswerReads(Pending{WantedGroups: 9, WholeGroups: 6}))
	is.Equal(ShouldAnswerReads(Pending{WantedGroups: 9, WholeGroups: 7}), false)
	is.True(ShouldAnswerReads(Pending{WantedGroups: 9, WholeGroups: 9, CompletesGroup: true}))
	is.True(ShouldAnswerReads(Pending{WantedGroups: 9, WholeGroups: 7, Reading: PendingRead{Waited: 700 * time.Millisecond, UntilEnd: 600 * time.Millisecond}})) // the next read is waiting when the step ends
	is.Equal(ShouldWrite(Pending{Results: 4, CompletesGroup: true, OldestAge: nearEndWriteAge - 1, WholeGroups: 8, WantedGroups: 9}), false)
	is.Equal(ShouldAnswerReads(Pending{Results: 4, CompletesGroup: true, OldestAge: time.Second, WholeGroups: 8, WantedGroups: 9}), false) // results are written, but no read is answered
	is.Equal(ShouldWrite(Pending{Results: 4, CompletesGroup: true, WholeGroups: 9, WantedGroups: 9}), true)
	is.Equal(ShouldWrite(Pending{Results: 1, WholeGroups: 9, WantedGroups: 9}), false) // a part of a group does not end a step
	// The trainer waits for a carried-over group in any case.
	is.Equal(ShouldWrite(Pending{Results: 4, CompletesGroup: true, WholeGroups: 9, WantedGroups: 9, CarriedOver: 1}), false)
	is.Equal(ShouldWrite(Pending{Results: 4, CompletesGroup: true, WholeGroups: 9, WantedGroups: 9, CarriedOver: 1, OldestAge: maxWriteAge}), true)
	is.Equal(ShouldWrite(Pending{Results: 1, NoMoreResults: true}), true)
	// A read that is answered now is followed by the next one at once.
	is.Equal(ShouldWrite(Pending{Results: 1, WantedGroups: 9, Reading: PendingRead{Waited: minReadWaitToWrite}}), true)
	is.Equal(ShouldWrite(Pending{Results: 1, WantedGroups: 9, Reading: PendingRead{Waited: minReadWaitToWrite / 2}}), false)
	is.Equal(ShouldWrite(Pending{WantedGroups: 9, Reading: PendingRead{Waited: minReadWaitToWrite}}), false)
	// The trainer did not say how many groups it waits for.
	is.Equal(ShouldWrite(Pending{Results: 4, CompletesGroup: true, OldestAge: wholeGroupsDelay / 2}), false)
	is.Equal(ShouldWrite(Pending{Results: 4, CompletesGroup: true, OldestAge: wholeGroupsDelay}), true)
}

// simulateTrainer simulates a trainer that reads the results of a step while they are
// written. It begins a read every half second; a read that finds nothing is kept waiting
// for a second, and after a longer wait the trainer reads again at once. finishedAt has the
// times at which results are finished; the last one makes the wanted groups whole. It
// returns when the trainer has the last result, and the number of writes.
func simulateTrainer(finishedAt []time.Duration, wanted int) (time.Duration, int) {
	const (
		tick  = 10 * time.Millisecond
		every = 500 * time.Millisecond
		wait  = time.Second
	)
	var first, began time.Duration
	var next, pending, listed, announced, seen, writes int
	reading := false
	for now := time.Duration(0); ; now += tick {
		for next < len(finishedAt) && finishedAt[next] <= now {
			if pending == 0 {
				first = finishedAt[next]
			}
			pending++
			next++
		}
		if !reading && now >= began {
			reading, began = true, now
		}
		last := next == len(finishedAt)
		p := Pending{
			Results:        pending,
			CompletesGroup: last || next%8 == 0,
			OldestAge:      now - first,
			WholeGroups:    min(next/8, wanted-1),
			WantedGroups:   wanted,
		}
		if last {
			p.WholeGroups = wanted
		}
		if reading && seen == listed {
			p.Reading.Waited = now - began
		}
		// Unless the step ends, the owner of a batch checks it ten times a second.
		if (last || now%(100*time.Millisecond) == 0) && ShouldWrite(p) {
			listed += pending
			pending = 0
			writes++
			if ShouldAnswerReads(p) {
				announced = listed
			}
		}
		if reading && (announced > seen || now-began >= wait) {
			seen = listed
			if seen == len(finishedAt) {
				return now, writes
			}
			reading, began = false, max(began+every, now+tick)
		}
	}
}

// Guards against a trainer that waits for results that are already finished. A step has 144
// items in 18 groups: most are finished within three seconds, then the long ones one by one
// until the seventeenth group is whole, and the trainer is idle until it has read that
// group. If results are listed as they come, the last ones are read 0.3 s after they
// were finished in the mean, and up to 0.9 s.
func TestTrainerReadsStepEndAtOnce(t *testing.T) {
	is := is.New(t)
	worst, maxWrites := time.Duration(0), 0
	for shift := range 200 {
		var finishedAt []time.Duration
		for i := range 130 {
			finishedAt = append(finishedAt, 200*time.Millisecond+time.Duration(i)*22*time.Millisecond)
		}
		for i := range 13 {
			finishedAt = append(finishedAt, time.Duration(3100+i*(150+shift%130)+shift)*time.Millisecond)
		}
		end := finishedAt[len(finishedAt)-1] + time.Duration(50+shift*7)*time.Millisecond
		seen, writes := simulateTrainer(append(finishedAt, end), 17)
		worst, maxWrites = max(worst, seen-end), max(maxWrites, writes)
	}
	t.Logf("seen at most %s after the end of the step, with at most %d writes", worst, maxWrites)
	is.True(worst <= 50*time.Millisecond)
	is.True(maxWrites <= 12)
}

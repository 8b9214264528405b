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
	is.Equal(Write(Pending{}), false)
	is.Equal(Write(Pending{Results: 1, Oldest: time.Second, Wanted: 9}), false)
	is.Equal(Write(Pending{Results: 1, Oldest: preferredWriteAge, Wanted: 9}), false) // no read waits
	is.Equal(Write(Pending{Results: 1, Oldest: maxWriteAge, Wanted: 9}), true)
	is.Equal(Write(Pending{Results: 1, Oldest: preferredWriteAge, Wanted: 9, Reading: Reading{Waited: minReadWait}}), true)
	is.Equal(Write(Pending{Results: 1, Oldest: preferredWriteAge, Wanted: 9, Reading: Reading{Waited: minReadWait / 2}}), false)
	is.Equal(Write(Pending{Results: 1, Wanted: 9, WholeGroups: 7, Reading: Reading{Waited: minReadWaitToWrite}}), false) // the end is near
	// A read must not be answered just before the end because the estimated end was
	// too late.
	is.Equal(Write(Pending{Results: 1, Wanted: 9, WholeGroups: 7, Reading: Reading{Waited: minReadWaitToWrite, Left: 2 * time.Second}}), false)
	is.True(Write(Pending{Results: 1, Wanted: 9, WholeGroups: 6, Reading: Reading{Waited: minReadWaitToWrite, Left: 2 * time.Second}}))
	// Long unfinished texts are stored, or they would be made again after a restart of
	// all instances.
	is.True(Write(Pending{Results: 1, Wanted: 9, WholeGroups: 7, Oldest: nearEndWriteAge}))
	is.True(Tell(Pending{Wanted: 9, WholeGroups: 6}))
	is.Equal(Tell(Pending{Wanted: 9, WholeGroups: 7}), false)
	is.True(Tell(Pending{Wanted: 9, WholeGroups: 9, Whole: true}))
	is.True(Tell(Pending{Wanted: 9, WholeGroups: 7, Reading: Reading{Waited: 700 * time.Millisecond, Left: 600 * time.Millisecond}})) // the next read is waiting when the step ends
	is.Equal(Write(Pending{Results: 4, Whole: true, Oldest: nearEndWriteAge - 1, WholeGroups: 8, Wanted: 9}), false)
	is.Equal(Tell(Pending{Results: 4, Whole: true, Oldest: time.Second, WholeGroups: 8, Wanted: 9}), false) // results are written, but no read is answered
	is.Equal(Write(Pending{Results: 4, Whole: true, WholeGroups: 9, Wanted: 9}), true)
	is.Equal(Write(Pending{Results: 1, WholeGroups: 9, Wanted: 9}), false) // a part of a group does not end a step
	// The trainer waits for a carried-over group in any case.
	is.Equal(Write(Pending{Results: 4, Whole: true, WholeGroups: 9, Wanted: 9, Again: 1}), false)
	is.Equal(Write(Pending{Results: 4, Whole: true, WholeGroups: 9, Wanted: 9, Again: 1, Oldest: maxWriteAge}), true)
	is.Equal(Write(Pending{Results: 1, Last: true}), true)
	// A read that is answered now is followed by the next one at once.
	is.Equal(Write(Pending{Results: 1, Wanted: 9, Reading: Reading{Waited: minReadWaitToWrite}}), true)
	is.Equal(Write(Pending{Results: 1, Wanted: 9, Reading: Reading{Waited: minReadWaitToWrite / 2}}), false)
	is.Equal(Write(Pending{Wanted: 9, Reading: Reading{Waited: minReadWaitToWrite}}), false)
	// The trainer did not say how many groups it waits for.
	is.Equal(Write(Pending{Results: 4, Whole: true, Oldest: wholeGroupsDelay / 2}), false)
	is.Equal(Write(Pending{Results: 4, Whole: true, Oldest: wholeGroupsDelay}), true)
}

// simulateTrainer simulates a trainer that reads the results of a step while they are
// written. It begins a read every half second; a read that finds nothing is kept waiting
// for a second, and after a longer wait the trainer reads again at once. made has the
// times at which results are made; the last one makes the wanted groups whole. It
// returns when the trainer has the last result, and the number of writes.
func simulateTrainer(made []time.Duration, wanted int) (time.Duration, int) {
	const (
		tick  = 10 * time.Millisecond
		every = 500 * time.Millisecond
		wait  = time.Second
	)
	var first, began time.Duration
	var next, pending, listed, announced, seen, writes int
	reading := false
	for now := time.Duration(0); ; now += tick {
		for next < len(made) && made[next] <= now {
			if pending == 0 {
				first = made[next]
			}
			pending++
			next++
		}
		if !reading && now >= began {
			reading, began = true, now
		}
		last := next == len(made)
		p := Pending{
			Results:     pending,
			Whole:       last || next%8 == 0,
			Oldest:      now - first,
			WholeGroups: min(next/8, wanted-1),
			Wanted:      wanted,
		}
		if last {
			p.WholeGroups = wanted
		}
		if reading && seen == listed {
			p.Reading.Waited = now - began
		}
		// Unless the step ends, the owner of a batch checks it ten times a second.
		if (last || now%(100*time.Millisecond) == 0) && Write(p) {
			listed += pending
			pending = 0
			writes++
			if Tell(p) {
				announced = listed
			}
		}
		if reading && (announced > seen || now-began >= wait) {
			seen = listed
			if seen == len(made) {
				return now, writes
			}
			reading, began = false, max(began+every, now+tick)
		}
	}
}

// Guards against a trainer that waits for results which are already made. A step has 144
// items in 18 groups: most are made within three seconds, then the long ones one by one
// until the seventeenth group is whole, and the trainer is idle until it has read that
// group. If results are listed as they come, the last ones are read 0.3 s after they
// were made in the mean, and up to 0.9 s.
func TestTrainerReadsStepEndAtOnce(t *testing.T) {
	is := is.New(t)
	worst, maxWrites := time.Duration(0), 0
	for shift := range 200 {
		var made []time.Duration
		for i := range 130 {
			made = append(made, 200*time.Millisecond+time.Duration(i)*22*time.Millisecond)
		}
		for i := range 13 {
			made = append(made, time.Duration(3100+i*(150+shift%130)+shift)*time.Millisecond)
		}
		end := made[len(made)-1] + time.Duration(50+shift*7)*time.Millisecond
		seen, writes := simulateTrainer(append(made, end), 17)
		worst, maxWrites = max(worst, seen-end), max(maxWrites, writes)
	}
	t.Logf("seen at most %s after the end of the step, with at most %d writes", worst, maxWrites)
	is.True(worst <= 50*time.Millisecond)
	is.True(maxWrites <= 12)
}

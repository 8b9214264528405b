package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each write is a priced call, and a trainer that is told of single results at
// every read looks away for half a second just when its step is whole.
func TestWrite(t *testing.T) {
	is := is.New(t)
	is.Equal(Write(Pending{}), false)
	is.Equal(Write(Pending{Results: 1, Oldest: time.Second, Wanted: 9}), false)
	is.Equal(Write(Pending{Results: 1, Oldest: writeRest, Wanted: 9}), true)
	is.Equal(Write(Pending{Results: 4, Whole: true, Oldest: time.Second, WholeGroups: 8, Wanted: 9}), false)
	is.Equal(Write(Pending{Results: 4, Whole: true, WholeGroups: 9, Wanted: 9}), true)
	is.Equal(Write(Pending{Results: 1, WholeGroups: 9, Wanted: 9}), false) // a part of a group ends no step
	is.Equal(Write(Pending{Results: 1, Last: true}), true)
	// Nobody said how many groups are waited for.
	is.Equal(Write(Pending{Results: 4, Whole: true, Oldest: writeWhole / 2}), false)
	is.Equal(Write(Pending{Results: 4, Whole: true, Oldest: writeWhole}), true)
}

// reader is a trainer: it reads each half a second, a read that finds nothing is
// kept waiting for a second, and after a longer wait it reads again at once.
type reader struct {
	every, wait time.Duration
}

// sees returns when a reader that began at zero sees what is listed last.
func (r reader) sees(listed []time.Duration) time.Duration {
	at, seen := time.Duration(0), 0
	for {
		answered := at
		n := seen
		for n < len(listed) && listed[n] <= at {
			n++
		}
		if n == seen {
			answered = at + r.wait
			if n < len(listed) && listed[n] <= answered {
				answered = listed[n]
				n++
			}
		}
		seen = n
		if seen == len(listed) {
			return answered
		}
		at = max(at+r.every, answered)
	}
}

// A step of 144 items in 18 groups: most are made within three seconds, then the
// long ones come one by one until the seventeenth group is whole. The trainer
// stands still until it has read that group. Listed as they came, the last
// results were read 0.3 s after they were made in the mean, and up to 0.5 s.
func TestTrainerSeesTheEndOfItsStepAtOnce(t *testing.T) {
	is := is.New(t)
	worst := time.Duration(0)
	for shift := range 50 {
		var made []time.Duration
		for i := range 130 {
			made = append(made, 200*time.Millisecond+time.Duration(i)*22*time.Millisecond)
		}
		for i := range 13 {
			made = append(made, 3100*time.Millisecond+time.Duration(i*270+shift)*time.Millisecond)
		}
		end := 6800*time.Millisecond + time.Duration(shift)*10*time.Millisecond
		made = append(made, end)
		listed := listings(made, 17)
		seen := reader{
			every: 500 * time.Millisecond,
			wait:  time.Second,
		}.sees(listed)
		worst = max(worst, seen-end)
	}
	t.Logf("seen %s after the end of the step at the most", worst)
	is.True(worst <= 60*time.Millisecond)
}

// listings plays the writes of results that are made at some times; the last
// one makes the wanted number of groups whole.
func listings(made []time.Duration, wanted int) []time.Duration {
	const tick = 20 * time.Millisecond
	var listed []time.Duration
	first, pending := time.Duration(0), 0
	next := 0
	for now := time.Duration(0); next < len(made) || pending > 0; now += tick {
		for next < len(made) && made[next] <= now {
			if pending == 0 {
				first = made[next]
			}
			pending++
			next++
		}
		last := next == len(made)
		p := Pending{
			Results: pending,
			Whole:   last || next%8 == 0,
			Oldest:  now - first,
			Wanted:  wanted,
		}
		p.WholeGroups = min(next/8, wanted-1)
		if last {
			p.WholeGroups = wanted
		}
		if Write(p) {
			listed = append(listed, now)
			pending = 0
		}
	}
	return listed
}

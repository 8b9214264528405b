package runner

import (
	"context"
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// phase is where an item stands.
type phase int

const (
	waiting phase = iota
	running
	scoring
	finished
)

// Event is one whole event of a stream.
type Event struct {
	Number int
	Data   string
	// Version made the event.
	Version uint64
}

// Generation is one attempt at an item.
type Generation struct {
	Batch *submission.Submission
	Item  *submission.Item
	Route catalog.Route
	// After is the number of the last event that is known; 0 for none.
	After int
	// Oldest is the oldest weight version of use.
	Oldest uint64
	// Left is how long the item may still take.
	Left time.Duration
	// Urgent items bear on the end of their step.
	Urgent bool
	// Heard takes the engine's load, if it tells.
	Heard func(engine.Report)
}

// task is an item under way. Its batch's lock guards it.
type task struct {
	item *submission.Item
	// tokens is the expected length; 0 if unknown.
	tokens int
	phase  phase
	events []string
	last   int
	// versions made the events, each once, in order of first use.
	versions []uint64
	failures int
	moves    int
	attempts int

	upstream *catalog.Upstream
	// reserved is the memory that the attempt was counted with, in tokens.
	reserved int64
	cancel   context.CancelFunc
	// left is the engine that the item moved away from last.
	left  *catalog.Upstream
	begun timer.Instant
	heard timer.Instant
	made  int
	// marked and markedAt begin the events by which the engine's pace is
	// measured.
	marked   int
	markedAt timer.Instant
	moving   bool
	stuck    bool
	// end is the result, once it is finished; stored says that it was listed.
	end    *submission.Result
	stored bool
	spent  spent
	// setback puts it off after engines were lost under it.
	setback setback
}

// paceSpan is how many events measure the pace of an engine: the time of one
// alone varies with the prompts that are read beside it.
const paceSpan = 6

// leastSpan is how many events must do at the end of an attempt: one that was
// moved for its slowness after four events would tell nothing otherwise, and its
// engine would get the next item as if nothing had happened.
const leastSpan = 3

// pace returns the time for an event over the last ones of this attempt, if there
// are enough of them. The wait for the first event is not part of it.
func (t *task) pace(least int) (time.Duration, bool) {
	n := t.made - t.marked
	if t.marked == 0 || n < least {
		return 0, false
	}
	pace := t.heard.Sub(t.markedAt) / time.Duration(n)
	t.marked, t.markedAt = t.made, t.heard
	return pace, true
}

// needs returns the memory that the whole item is expected to take, in tokens.
func (t *task) needs() int64 { return int64(t.item.PromptTokens + t.tokens) }

// add takes an event if it is the next one.
func (t *task) add(e Event, now timer.Instant) bool {
	if e.Number != t.last+1 {
		return false
	}
	t.last = e.Number
	t.events = append(t.events, e.Data)
	t.made++
	t.heard = now
	if t.marked == 0 {
		t.marked, t.markedAt = t.made, now
	}
	if e.Version != 0 && !slices.Contains(t.versions, e.Version) {
		t.versions = append(t.versions, e.Version)
	}
	return true
}

// restart drops what was generated.
func (t *task) restart() {
	t.spent.remade += t.last
	t.events = nil
	t.last = 0
	t.versions = nil
}

// result is the end of a completed item.
func (t *task) result(score string) submission.Result {
	return submission.Result{
		Item:     t.item.ID,
		State:    submission.Completed,
		Text:     submission.TextOf(t.events),
		Versions: t.versions,
		Score:    score,
	}
}

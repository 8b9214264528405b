package runner

import (
	"context"
	"slices"
	"strings"
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
	// Heard takes the engine's load, if it tells.
	Heard func(engine.Report)
}

// task is an item under way. Its batch's lock guards it.
type task struct {
	item   *submission.Item
	phase  phase
	events []string
	last   int
	// versions made the events, each once, in order of first use.
	versions []uint64
	failures int
	moves    int
	attempts int

	upstream *catalog.Upstream
	cancel   context.CancelFunc
	begun    timer.Instant
	heard    timer.Instant
	made     int
	moving   bool
	stuck    bool
}

// add takes an event if it is the next one.
func (t *task) add(e Event, now timer.Instant) bool {
	if e.Number != t.last+1 {
		return false
	}
	t.last = e.Number
	t.events = append(t.events, e.Data)
	t.made++
	t.heard = now
	if e.Version != 0 && !slices.Contains(t.versions, e.Version) {
		t.versions = append(t.versions, e.Version)
	}
	return true
}

// restart drops what was generated.
func (t *task) restart() {
	t.events = nil
	t.last = 0
	t.versions = nil
}

// result is the end of a completed item.
func (t *task) result(score string) submission.Result {
	return submission.Result{
		Item:     t.item.ID,
		State:    submission.Completed,
		Text:     strings.Join(t.events, "\n"),
		Versions: t.versions,
		Score:    score,
	}
}

package runner

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// phase is the state of an item.
type phase int

const (
	waiting phase = iota
	running
	scoring
	finished
)

// Event is one complete event of a stream.
type Event struct {
	Number int
	Data   string
	// Version is the weight version that generated the event.
	Version uint64
}

// Attempt describes one attempt at an item.
type Attempt struct {
	Batch *submission.Submission
	Item  *submission.Item
	Route catalog.Route
	// After is the number of the last event that is known; 0 if there is none.
	After int
	// OldestVersion is the oldest weight version that may generate events.
	OldestVersion uint64
	// TimeLeft is the time until the item is given up.
	TimeLeft time.Duration
	// Urgent says that the end of the step may depend on the item.
	Urgent bool
	// OnLoadReport is called with the engine's load, if the engine reports it.
	OnLoadReport func(engine.LoadReport)
	// OnConnectionIdle is called with the time for which the connection of the attempt
	// stays open, if the response was read to its end. It may be nil.
	OnConnectionIdle func(keepAlive time.Duration)
}

// task is an item and the state of the work on it. The batch's lock guards it.
type task struct {
	item *submission.Item
	// tokens is the expected length of the text; 0 if unknown.
	tokens int
	phase  phase
	// text identifies the text at successors; see standby.ItemDelta.
	text   uint64
	events []string
	// lastEvent is the number of the last event; 0 if there is none.
	lastEvent int
	// versions are the weight versions that generated the events, each once, in order
	// of first use.
	versions []uint64
	failures int
	moves    int
	attempts int
	// warmAttempts is how many attempts went to an engine that had read the prompt for
	// another item of the group; passedOver is how often such an item went first.
	warmAttempts int
	passedOver   int

	upstream *catalog.Upstream
	// reserved is the memory that is reserved at the engine for the attempt, in
	// tokens.
	reserved int64
	// memoryWaitSince is since when the item waits for memory; 0 if it doesn't.
	memoryWaitSince timer.Instant
	cancel          context.CancelFunc
	// loan records whether the engine accepted the attempt, if it is assigned to another
	// model and the step borrows it; nil otherwise.
	loan func(refused bool, now timer.Instant)
	// movedFrom is the engine that the item was last moved away from.
	movedFrom *catalog.Upstream
	// attemptStart is when the attempt began, lastEventAt when its last event
	// came (at first, when it began), and attemptEvents the number of its events.
	attemptStart  timer.Instant
	lastEventAt   timer.Instant
	attemptEvents int
	// promptTokens is the length of the text that the engine reads before the first event
	// of the attempt, 0 once it has read it; promptMark is its position there, and
	// firstEventAfter the time until the first event.
	promptTokens    int64
	promptMark      catalog.PromptMark
	firstEventAfter time.Duration
	// paceMark and paceMarkAt are the number of events and the time at which the
	// measurement of the engine's pace began.
	paceMark   int
	paceMarkAt timer.Instant
	// moving says that the attempt was cancelled to move the item, stalled that
	// its stream had stalled by then.
	moving  bool
	stalled bool
	// final is the result once the item is finished; stored says that it is
	// listed.
	final   *submission.Result
	stored  bool
	timings timings
	// backoff delays the item after it has lost several engines in a row, or after one
	// refused it; refusedAt is when one last did.
	backoff   backoff
	refusedAt timer.Instant
}

// paceEvents is how many events a running attempt needs to measure the pace of
// its engine: the time of a single event varies with the prompts that the engine
// reads at the same time.
const paceEvents = 6

// minPaceEvents is how many events are enough at the end of an attempt. If more
// were needed, an attempt that was moved for its slowness after four events would
// tell nothing, and its engine would get the next item as if nothing had
// happened.
const minPaceEvents = 3

// pace returns the time for an event over the last events of the attempt, if
// there are at least minEvents of them, and begins a new measurement. The wait
// for the first event is not part of it.
func (t *task) pace(minEvents int) (time.Duration, bool) {
	n := t.attemptEvents - t.paceMark
	if t.paceMark == 0 || n < minEvents {
		return 0, false
	}
	pace := t.lastEventAt.Sub(t.paceMarkAt) / time.Duration(n)
	t.paceMark, t.paceMarkAt = t.attemptEvents, t.lastEventAt
	return pace, true
}

// memoryNeed returns the memory that the complete item is expected to take, in
// tokens.
func (t *task) memoryNeed() int64 { return int64(t.item.PromptTokens + t.tokens) }

// largestMemory returns the memory that the item takes with the longest text that it may
// have, in tokens.
func (t *task) largestMemory() int64 { return int64(t.item.PromptTokens + t.item.MostTokens) }

// addEvent adds an event, and reports false if it is not the next one.
func (t *task) addEvent(e Event, now timer.Instant) bool {
	if e.Number != t.lastEvent+1 {
		return false
	}
	t.lastEvent = e.Number
	t.events = append(t.events, e.Data)
	t.attemptEvents++
	t.lastEventAt = now
	if t.paceMark == 0 {
		t.paceMark, t.paceMarkAt = t.attemptEvents, now
	}
	if e.Version != 0 && !slices.Contains(t.versions, e.Version) {
		t.versions = append(t.versions, e.Version)
	}
	return true
}

// newText returns a random number that identifies a text. Texts of one item need other numbers also
// if this process loses its batch and gets it back.
func newText() uint64 { return rand.Uint64() }

// discardEvents drops all events, so that the text is generated again from its
// start.
func (t *task) discardEvents() {
	t.timings.regenerated += t.lastEvent
	t.text = newText()
	t.events = nil
	t.lastEvent = 0
	t.versions = nil
}

// result returns the result of a completed item.
func (t *task) result(score string) submission.Result {
	return submission.Result{
		Item:     t.item.ID,
		State:    submission.Completed,
		Text:     submission.JoinEvents(t.events),
		Versions: t.versions,
		Score:    score,
	}
}

package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Batch is the state of a batch that this process owns.
type Batch struct {
	sub     *submission.Submission
	route   catalog.Route
	service string
	// cfg is the configuration by which regions, the allowed regions, and singleVersion were looked
	// up. singleVersion says that each text must have a single version.
	cfg           *catalog.Configuration
	regions       residency.Regions
	singleVersion bool
	ctx           context.Context
	cancel        context.CancelFunc
	// startedAt is when this process started to work on the batch.
	startedAt timer.Instant
	// submittedAt is when the batch was submitted.
	submittedAt timer.Instant
	// giveUpAt is when unfinished items are given up.
	giveUpAt timer.Instant

	// writeMu is held while results are being written to the ledger. It is
	// acquired before mu.
	writeMu sync.Mutex

	mu           sync.Mutex
	claim        ledger.Claim
	confirmation confirmation
	// unstored says that the ledger has not accepted the batch yet; requestedAt
	// is when the batch was last requested.
	unstored    bool
	requestedAt timer.Instant
	tasks       map[string]*task
	queue       []*task
	// acceptedAt is when the first event of an attempt last came: an engine accepted an
	// item.
	acceptedAt timer.Instant
	// prompts holds the engines that have read the prompt of a group, oldest first.
	prompts map[string][]warmPrompt
	// openInGroup is the number of unfinished items of each group.
	openInGroup map[string]int
	// wholeGroups is the number of whole groups: those whose items are all
	// finished.
	wholeGroups int
	// carriedOver holds the unfinished groups that were already part of an earlier
	// batch and were submitted again in this one.
	carriedOver map[string]bool
	// criticalItem is the item that completed the last of the groups that the
	// trainer waits for.
	criticalItem string
	// criticalListed says that the result of criticalItem is listed.
	criticalListed bool
	// stepDoneAt is when the groups that the trainer waits for were whole,
	// readableAt when their results were listed; both are 0 until then.
	stepDoneAt timer.Instant
	readableAt timer.Instant
	// expectedEnd is when those groups are expected to be whole; 0 if unknown.
	expectedEnd timer.Instant
	listed      []submission.Result
	pending     []submission.Result
	// restored is how many results an earlier owner had finished that came from
	// the copy.
	restored int
	// writeInFlight says that a write of results is in progress; writeStartedAt
	// is when it was first sent.
	writeInFlight  bool
	writeStartedAt timer.Instant
	// oldestPendingAt is when the first of the pending results came.
	oldestPendingAt timer.Instant
	// pendingCompletesGroup says that one of the pending results completed its
	// group.
	pendingCompletesGroup bool
	// open is the number of unfinished items.
	open int
	// overloaded says that the queue is ordered group by group because the step
	// can't complete in time; rankedAt is when the queue was last ordered.
	overloaded bool
	rankedAt   timer.Instant
	// borrowed is what the step has borrowed from other models.
	borrowed borrowed
	// movesHeldUntil is until when no stream is moved for being slow, as all engines were
	// slow together at the start of the step; 0 if they were not.
	movesHeldUntil timer.Instant
	// medianPace is the median time between two events at the engines, as last
	// looked up.
	medianPace time.Duration
	ended      bool
	// handingOver says that the batch stopped here and that its next owner is not
	// yet known to have it.
	handingOver bool
	// endStored says that the ledger holds the end of the batch; callers repeat
	// their request to end it.
	endStored bool
	// lost says that another process has the batch, or that it was dropped here.
	lost bool
	// changed is closed and replaced when the waiting reads are to look for an
	// answer.
	changed chan struct{}
	// releases counts how often the waiting reads were released early: reads that
	// began before the last release are answered with the results that there are.
	releases int
	// waitingReads are the reads that wait for results, each with the time since
	// which it waits.
	waitingReads map[*waiter]timer.Instant
	// dispatchWake wakes dispatchLoop, writeWake wakes writeLoop.
	dispatchWake wake.Signal
	writeWake    wake.Signal
}

// notifyReaders wakes all waiting reads. The caller holds b.mu.
func (b *Batch) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// finish records the result of a task. The caller holds b.mu.
func (b *Batch) finish(t *task, r submission.Result, now timer.Instant) {
	if t.phase == finished || b.over() {
		return
	}
	t.phase = finished
	t.final = &r
	b.open--
	if len(b.pending) == 0 {
		b.oldestPendingAt = now
	}
	b.pending = append(b.pending, r)
	b.openInGroup[t.item.Group]--
	if b.openInGroup[t.item.Group] == 0 {
		b.pendingCompletesGroup = true
		b.wholeGroups++
		delete(b.carriedOver, t.item.Group)
		if b.stepDoneAt == 0 && b.wholeGroups >= b.sub.WantedGroups && len(b.carriedOver) == 0 {
			b.stepDoneAt = now
			b.criticalItem = t.item.ID
		}
	}
	b.writeWake.Set()
}

// listResults makes stored results readable. The caller holds b.mu.
func (b *Batch) listResults(results []submission.Result, now timer.Instant) {
	b.listed = append(b.listed, results...)
	for _, r := range results {
		if t := b.tasks[r.Item]; t != nil {
			t.stored = true
			t.events = nil
		}
	}
	if !b.answersReads(now) {
		return
	}
	// The waiting reads are answered now. If they still counted as waiting, the
	// next result would be listed at once as well and answer the next read
	// immediately, and the trainer would pause just before the end of its step.
	clear(b.waitingReads)
	if b.stepDoneAt != 0 && b.readableAt == 0 {
		b.readableAt = now
	}
	b.notifyReaders()
}

// answersReads reports whether the waiting reads are answered with the results
// that were just listed. The caller holds b.mu.
func (b *Batch) answersReads(now timer.Instant) bool {
	if b.stepDoneAt == 0 {
		return b.open == 0 || schedule.ShouldAnswerReads(b.describePending(now))
	}
	// The results that end the step may not be written yet. If the trainer were
	// answered with other results, it would see those that end the step half a
	// second later.
	b.criticalListed = b.criticalListed || b.criticalItem == "" || slices.ContainsFunc(b.listed, func(r submission.Result) bool { return r.Item == b.criticalItem })
	return b.criticalListed
}

// msSinceStart returns the time from the start of the batch here to an instant in
// milliseconds: 0 for an instant that never came, and at least 1 for any other.
func (b *Batch) msSinceStart(at timer.Instant) int64 {
	if at == 0 {
		return 0
	}
	return max(1, at.Sub(b.startedAt).Milliseconds())
}

// over reports whether the batch needs no more work here. The caller holds b.mu.
func (b *Batch) over() bool { return b.ended || b.lost }

// isLost reports whether another process has the batch, or it was dropped here.
func (b *Batch) isLost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

// describePending returns the state of the pending results by which writes are
// scheduled. The caller holds b.mu.
func (b *Batch) describePending(now timer.Instant) schedule.Pending {
	return schedule.Pending{
		Results:        len(b.pending),
		CompletesGroup: b.pendingCompletesGroup,
		NoMoreResults:  b.open == 0,
		OldestAge:      now.Sub(b.oldestPendingAt),

		WholeGroups:  b.wholeGroups,
		WantedGroups: b.sub.WantedGroups,
		CarriedOver:  len(b.carriedOver),
		Reading:      b.describeRead(now),
	}
}

// giveUp finishes all unfinished items as dead. The caller holds b.mu.
func (b *Batch) giveUp(now timer.Instant) {
	for i := range b.sub.Items {
		t := b.tasks[b.sub.Items[i].ID]
		if t == nil || t.phase == finished {
			continue
		}
		if t.cancel != nil {
			t.cancel()
		}
		b.finish(t, submission.Result{
			Item:  t.item.ID,
			State: submission.Dead,
		}, now)
	}
	b.queue = nil
}

// newBatch creates a batch. The results that an earlier owner stored are kept, and its
// progress on an item is continued if no event of it was generated by weights that are
// too old. minTokens has the items that an earlier batch had, each with the fewest
// tokens that its text can have.
func newBatch(sub *submission.Submission, claim ledger.Claim, stored []submission.Result, progress []submission.Progress, minTokens map[string]int) *Batch {
	b := &Batch{
		sub:         sub,
		claim:       claim,
		tasks:       make(map[string]*task, len(sub.Items)),
		openInGroup: make(map[string]int),
		carriedOver: make(map[string]bool),
		listed:      stored,
		changed:     make(chan struct{}),
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	done := make(map[string]bool, len(stored))
	for _, r := range stored {
		done[r.Item] = true
	}
	for _, i := range schedule.Order(sub.Items, minTokens) {
		item := &sub.Items[i]
		if done[item.ID] || b.tasks[item.ID] != nil {
			continue
		}
		t := &task{
			item:   item,
			text:   newText(),
			tokens: max(item.Estimate(), minTokens[item.ID]),
		}
		if _, ok := minTokens[item.ID]; ok {
			b.carriedOver[item.Group] = true
		}
		b.tasks[item.ID] = t
		b.queue = append(b.queue, t)
		b.openInGroup[item.Group]++
		b.open++
	}
	whole := make(map[string]bool)
	for _, item := range sub.Items {
		if b.openInGroup[item.Group] == 0 {
			whole[item.Group] = true
		}
	}
	b.wholeGroups = len(whole)
	for _, p := range progress {
		t := b.tasks[p.Item]
		if t == nil {
			continue
		}
		t.failures = p.Failures
		if !slices.ContainsFunc(p.Versions, func(v uint64) bool { return v < sub.OldestVersion }) {
			t.events = p.Events
			t.lastEvent = len(p.Events)
			t.timings.restored = t.lastEvent
			t.versions = p.Versions
		}
	}
	return b
}

// progress returns the texts of the unfinished items that have at least minEvents
// events or have failed before, those with the most events first. The caller
// holds b.mu.
func (b *Batch) progress(minEvents int) []submission.Progress {
	var list []submission.Progress
	for _, t := range b.tasks {
		if t.phase != finished && t.phase != scoring && (len(t.events) >= minEvents || t.failures > 0) {
			list = append(list, submission.Progress{
				Item:     t.item.ID,
				Events:   slices.Clone(t.events),
				Versions: slices.Clone(t.versions),
				Failures: t.failures,
			})
		}
	}
	slices.SortFunc(list, func(x, y submission.Progress) int { return len(y.Events) - len(x.Events) })
	return list
}

// dueAt returns when the results of the batch are due.
func (b *Batch) dueAt() timer.Instant {
	if b.route.ResultDeadline <= 0 {
		return b.giveUpAt
	}
	return b.submittedAt.Add(b.route.ResultDeadline)
}

// timeLeft returns the time until unfinished items are given up.
func (b *Batch) timeLeft(now timer.Instant) time.Duration { return b.giveUpAt.Sub(now) }

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
)

// Batch is a batch that this process owns.
type Batch struct {
	sub     *submission.Submission
	route   catalog.Route
	service string
	ctx     context.Context
	cancel  context.CancelFunc
	// begun is when this process began with it.
	begun timer.Instant
	// asked is when the batch was submitted.
	asked timer.Instant
	// gives is when unfinished items are given up.
	gives timer.Instant

	// writing is held while results are on their way to the ledger; it is
	// taken before mu.
	writing sync.Mutex

	mu    sync.Mutex
	claim ledger.Claim
	// unstored batches are not accepted yet, wanted is when they were last asked
	// for.
	unstored bool
	wanted   timer.Instant
	tasks    map[string]*task
	queue    []*task
	groups   map[string]int
	// wholeGroups is how many groups have all their items finished.
	wholeGroups int
	// again are the groups that come again from an earlier batch.
	again map[string]bool
	// critical is the item whose end made those groups whole.
	critical string
	// ready says that it is listed.
	ready bool
	// made is when the groups that the trainer waits for were whole, readable
	// when they were listed.
	made     timer.Instant
	readable timer.Instant
	// endsAt is when they are expected to be whole; 0 if unknown.
	endsAt  timer.Instant
	listed  []submission.Result
	pending []submission.Result
	// restored is how many results came from the copy of an earlier owner's.
	restored int
	// sending says that a write is under way, sent when it was sent first.
	sending bool
	sent    timer.Instant
	// since is when the first pending result came.
	since timer.Instant
	whole bool
	open  int
	// overloaded says that the queue is ordered by groups, ranked when it was put
	// in order last.
	overloaded bool
	ranked     timer.Instant
	// usual is the usual time of an event at the engines, as last looked up.
	usual time.Duration
	ended bool
	// handing says that the batch stopped here and its next owner is not known to
	// have it.
	handing bool
	// endKept says that the end stands in the ledger: callers repeat it.
	endKept bool
	lost    bool
	changed chan struct{}
	// turned counts the turns: reads that began before the last one are answered
	// with what there is.
	turned int
	// waiting are the reads that wait for results, and since when.
	waiting map[*waiter]timer.Instant
	wake    wake.Signal
	write   wake.Signal
}

// tell wakes all readers. The lock is held.
func (b *Batch) tell() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// finish takes the result of a task. The lock is held.
func (b *Batch) finish(t *task, r submission.Result, now timer.Instant) {
	if t.phase == finished || b.over() {
		return
	}
	t.phase = finished
	t.end = &r
	b.open--
	if len(b.pending) == 0 {
		b.since = now
	}
	b.pending = append(b.pending, r)
	b.groups[t.item.Group]--
	if b.groups[t.item.Group] == 0 {
		b.whole = true
		b.wholeGroups++
		delete(b.again, t.item.Group)
		if b.made == 0 && b.wholeGroups >= b.sub.WantedGroups && len(b.again) == 0 {
			b.made = now
			b.critical = t.item.ID
		}
	}
	b.write.Set()
}

// list takes results that are stored. The lock is held.
func (b *Batch) list(results []submission.Result, now timer.Instant) {
	b.listed = append(b.listed, results...)
	for _, r := range results {
		if t := b.tasks[r.Item]; t != nil {
			t.stored = true
			t.events = nil
		}
	}
	if !b.tells(now) {
		return
	}
	// The reads that wait are answered now. Were they still counted, the next
	// result would be listed at once as well, answer the next read in no time,
	// and make the trainer pause just before the end of its step.
	clear(b.waiting)
	if b.made != 0 && b.readable == 0 {
		b.readable = now
	}
	b.tell()
}

// tells reports whether the reads that wait are answered with what was just listed.
// The lock is held.
func (b *Batch) tells(now timer.Instant) bool {
	if b.made == 0 {
		return b.open == 0 || schedule.Tell(b.due(now))
	}
	// The results that end the step may still be about to be written. Answered with
	// others, the trainer would look at those half a second later.
	b.ready = b.ready || b.critical == "" || slices.ContainsFunc(b.listed, func(r submission.Result) bool { return r.Item == b.critical })
	return b.ready
}

// sinceBegun returns the time of an instant in milliseconds from the beginning
// of the batch here, 0 for one that never came and 1 at least for any other.
func (b *Batch) sinceBegun(at timer.Instant) int64 {
	if at == 0 {
		return 0
	}
	return max(1, at.Sub(b.begun).Milliseconds())
}

// over reports whether the batch needs no more work here. The lock is held.
func (b *Batch) over() bool { return b.ended || b.lost }

// isLost reports whether another process has the batch.
func (b *Batch) isLost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

// due describes the pending results. The lock is held.
func (b *Batch) due(now timer.Instant) schedule.Pending {
	return schedule.Pending{
		Results: len(b.pending),
		Whole:   b.whole,
		Last:    b.open == 0,
		Oldest:  now.Sub(b.since),

		WholeGroups: b.wholeGroups,
		Wanted:      b.sub.WantedGroups,
		Again:       len(b.again),
		Reading:     b.reading(now),
	}
}

// giveUp lists all unfinished items as dead. The lock is held.
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

// newBatch prepares a batch; stored results of an earlier owner stand, and its
// progress is gone on with as far as its weights are young enough. known are the
// items that an earlier batch had, with the tokens that they have at least.
func newBatch(sub *submission.Submission, claim ledger.Claim, stored []submission.Result, progress []submission.Progress, known map[string]int) *Batch {
	b := &Batch{
		sub:     sub,
		claim:   claim,
		tasks:   make(map[string]*task, len(sub.Items)),
		groups:  make(map[string]int),
		again:   make(map[string]bool),
		listed:  stored,
		changed: make(chan struct{}),
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	done := make(map[string]bool, len(stored))
	for _, r := range stored {
		done[r.Item] = true
	}
	for _, i := range schedule.Order(sub.Items, known) {
		item := &sub.Items[i]
		if done[item.ID] || b.tasks[item.ID] != nil {
			continue
		}
		t := &task{
			item:   item,
			tokens: max(item.Estimate(), known[item.ID]),
		}
		if _, ok := known[item.ID]; ok {
			b.again[item.Group] = true
		}
		b.tasks[item.ID] = t
		b.queue = append(b.queue, t)
		b.groups[item.Group]++
		b.open++
	}
	whole := make(map[string]bool)
	for _, item := range sub.Items {
		if b.groups[item.Group] == 0 {
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
			t.last = len(p.Events)
			t.spent.restored = t.last
			t.versions = p.Versions
		}
	}
	return b
}

// progress returns the texts of unfinished items with at least some events, and of those
// that failed, the longest first. The lock is held.
func (b *Batch) progress(least int) []submission.Progress {
	var list []submission.Progress
	for _, t := range b.tasks {
		if t.phase != finished && t.phase != scoring && (len(t.events) >= least || t.failures > 0) {
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

// left returns the time until unfinished items are given up.
func (b *Batch) left(now timer.Instant) time.Duration { return b.gives.Sub(now) }

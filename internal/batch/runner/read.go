package runner

import (
	"context"
	"time"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Page is a part of a batch's results. Total is the number of items of the batch,
// and Next the position after the last result of the page.
type Page struct {
	Total   int
	Results []submission.Result
	Next    int
}

const (
	// maxPageBytes limits a page; callers accept up to a megabyte. A trainer reads
	// twice a second: results at the end of its step that do not fit one page are
	// read half a second later.
	maxPageBytes = 900 << 10
	// resultOverhead is how many bytes a result takes in the answer beside its
	// text and its item's ID: field names, versions and score.
	resultOverhead = 160
)

// page returns the results from a position on. The caller holds b.mu.
func (b *Batch) page(after int) Page {
	return NewPage(len(b.sub.Items), b.listed, after)
}

// NewPage returns the page of all listed results that begins at position after.
func NewPage(total int, listed []submission.Result, after int) Page {
	p := Page{
		Total: total,
		Next:  after,
	}
	size := 0
	for after < len(listed) {
		r := listed[after]
		size += len(r.Text) + len(r.Item) + resultOverhead
		if size > maxPageBytes && len(p.Results) > 0 {
			break
		}
		p.Results = append(p.Results, r)
		after++
	}
	p.Next = after
	return p
}

// Read returns the results from position after on. If there are none yet, it waits
// for some, for the given time at most.
func (r *Runner) Read(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	b := r.find(id)
	if b == nil {
		return Page{}, ErrNotRunHere
	}
	var done <-chan timer.Instant
	if wait > 0 {
		timeout := r.Timer.Once(wait)
		defer timeout.Close()
		done = timeout.C
	}
	w := &waiter{}
	defer b.removeWaiter(w)
	releases := b.releaseCount()
	extended := false
	for {
		b.mu.Lock()
		now := r.Timer.Now()
		p, answered, err := b.answer(after, wait > 0 && b.releases == releases, now)
		changed := b.changed
		if !answered && err == nil {
			b.addWaiter(w, now)
		}
		b.mu.Unlock()
		if answered || err != nil {
			return p, err
		}
		select {
		case <-changed:
		case <-done:
			if !extended && b.isWriting() {
				// Results are about to be listed. If the read were answered
				// without them, the next read would find them at once, and the
				// trainer would pause after that one.
				extended = true
				grace := r.Timer.Once(writeGrace)
				defer grace.Close()
				done = grace.C
				continue
			}
			wait = 0
		case <-ctx.Done():
			return p, ctx.Err()
		case <-r.tomb.Dying():
			return Page{}, ErrNotRunHere
		}
	}
}

// answer returns the answer to a read, and whether the read can be answered now:
// with results, with the end of the batch, or with nothing if the read does not
// wait any longer. The caller holds b.mu.
func (b *Batch) answer(after int, waits bool, now timer.Instant) (Page, bool, error) {
	if b.lost || b.unstored {
		return Page{}, false, ErrNotRunHere
	}
	p := b.page(after)
	if len(p.Results) > 0 {
		return p, true, nil
	}
	if !waits && b.mayLagLedger(now) {
		return Page{}, false, ErrNotRunHere
	}
	return p, !waits || b.ended || p.Next >= p.Total, nil
}

// Body returns the body of an item that is not listed yet; ok is false if there
// is no such item.
func (r *Runner) Body(id, item string) (body []byte, ok bool, err error) {
	b := r.find(id)
	if b == nil {
		return nil, false, ErrNotRunHere
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost || b.unstored {
		return nil, false, ErrNotRunHere
	}
	body, ok = UnlistedBody(b.sub, b.listed, item)
	return body, ok && !b.ended, nil
}

// UnlistedBody returns the body of an item that is not listed, and false if there is no
// such item.
func UnlistedBody(sub *submission.Submission, listed []submission.Result, item string) ([]byte, bool) {
	for _, res := range listed {
		if res.Item == item {
			return nil, false
		}
	}
	for _, it := range sub.Items {
		if it.ID == item {
			return it.Body, true
		}
	}
	return nil, false
}

// writeDoubtAfter is how long a write may take before its results may have been
// read elsewhere: a reader that saw them there must not find them missing here.
const writeDoubtAfter = 300 * time.Millisecond

// mayLagLedger reports whether the ledger may hold more results than are listed
// here: a write was sent and has not been answered for some time. The caller
// holds b.mu.
func (b *Batch) mayLagLedger(now timer.Instant) bool {
	return b.writeInFlight && now.Sub(b.writeStartedAt) > writeDoubtAfter
}

// writeGrace is how much longer a read waits for a write that is in progress.
const writeGrace = 100 * time.Millisecond

// isWriting reports whether a write of results is in progress.
func (b *Batch) isWriting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writeInFlight
}

// waiter is a read that may have to wait for results.
type waiter struct {
	// registered says that the read was added to the waiting ones; it is added
	// only once.
	registered bool
}

// addWaiter adds a read to the waiting ones, unless it was added before. The
// caller holds b.mu.
func (b *Batch) addWaiter(w *waiter, now timer.Instant) {
	if w.registered {
		return
	}
	if b.waitingReads == nil {
		b.waitingReads = make(map[*waiter]timer.Instant)
	}
	w.registered = true
	b.waitingReads[w] = now
}

// removeWaiter removes a read from the waiting ones when the read ends.
func (b *Batch) removeWaiter(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waitingReads, w)
}

// releaseCount returns how often the waiting reads were released early.
func (b *Batch) releaseCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.releases
}

// longestWait returns how long the oldest read has waited. The caller holds b.mu.
func (b *Batch) longestWait(now timer.Instant) time.Duration {
	longest := time.Duration(0)
	for _, since := range b.waitingReads {
		longest = max(longest, now.Sub(since))
	}
	return longest
}

// describeRead describes the read that has waited longest. The caller holds b.mu.
func (b *Batch) describeRead(now timer.Instant) schedule.PendingRead {
	reading := schedule.PendingRead{
		Waited: b.longestWait(now),
	}
	if b.expectedEnd != 0 && b.stepDoneAt == 0 {
		reading.UntilEnd = b.expectedEnd.Sub(now)
	}
	return reading
}

// releaseReads answers the waiting reads early if the reads that follow them are
// the ones that should wait when the step ends. The caller holds b.mu.
func (b *Batch) releaseReads(now timer.Instant) {
	// If there are pending results, AnswerEarly has them written and listed, which
	// answers the reads as well.
	if len(b.pending) == 0 && b.describeRead(now).AnswerEarly() {
		b.releases++
		clear(b.waitingReads)
		b.notifyReaders()
	}
}

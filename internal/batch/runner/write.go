package runner

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// writeOut writes finished results and lists them.
func (r *Runner) writeOut(b *Batch) {
	for {
		select {
		case <-b.write.C():
		case <-b.ctx.Done():
			return
		case <-r.tomb.Dying():
			return
		}
		if !r.writeDue(b) {
			return
		}
		b.mu.Lock()
		done := b.open == 0 && len(b.pending) == 0
		b.mu.Unlock()
		if done {
			r.Journal.Decision("complete", log.Fields{
				"request_id": b.sub.ID,
				"chunks":     b.claim.Chunks,
				"age_ms":     time.Since(b.sub.Submitted()).Milliseconds(),
			})
			return
		}
	}
}

// progressEvents is how many events make the progress of an item worth storing:
// a shorter text is soon made again.
const progressEvents = 12

// writeDue writes the finished results if that is due. It reports false when
// there is nothing more to write here.
func (r *Runner) writeDue(b *Batch) bool {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	due := b.due(r.Timer.Now())
	if b.over() || b.unstored || !schedule.Write(due) {
		going := !b.over()
		b.mu.Unlock()
		return going
	}
	results := b.pending
	b.pending, b.whole = nil, false
	var progress []submission.Progress
	if !due.Ends() {
		// The trainer waits for results that end its step; texts beside them
		// would hold them up.
		progress = b.progress(progressEvents)
	}
	b.mu.Unlock()
	for len(results) > 0 {
		n := ledger.Fitting(results)
		if !r.append(b, results[:n], progress) {
			return false
		}
		results, progress = results[n:], nil
	}
	return true
}

// append writes one chunk, again and again while the service is away, and
// lists it. It reports false when nothing more is to be written here. The end of
// a batch does not cut a write short: a chunk that was stored without this
// process knowing would show in the ledger and not here, so that a result that
// was read once would be missing in the next answer.
func (r *Runner) append(b *Batch, results []submission.Result, progress []submission.Progress) bool {
	b.mu.Lock()
	claim := b.claim
	b.sending, b.sent = true, r.Timer.Now()
	b.mu.Unlock()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		next, err := r.Ledger.Append(ctx, claim, results, progress)
		cancel()
		if err == nil {
			b.mu.Lock()
			b.claim = next
			b.sending = false
			b.list(results, r.Timer.Now())
			b.mu.Unlock()
			return true
		}
		b.mu.Lock()
		over := b.over()
		b.mu.Unlock()
		if over || errors.Is(err, ledger.ErrFenced) {
			r.Lose(b.sub.ID, err)
			return false
		}
		r.Journal.Trouble("results not written", err, log.Fields{
			"request_id": b.sub.ID,
			"results":    len(results),
		})
		if !timer.Wait(r.Timer, writePause, r.tomb.Dying()) {
			return false
		}
	}
}

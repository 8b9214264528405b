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

// writeLoop writes finished results to the ledger and lists them.
func (r *Runner) writeLoop(b *Batch) {
	for {
		select {
		case <-b.writeWake.C():
		case <-b.ctx.Done():
			return
		case <-r.tomb.Dying():
			return
		}
		if !r.writePending(b) {
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

// minProgressEvents is how many events of an unfinished item are worth storing: a
// shorter text is soon generated again.
const minProgressEvents = 12

// writePending writes the pending results if a write is due. It reports false
// when nothing more is to be written here.
func (r *Runner) writePending(b *Batch) bool {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	b.mu.Lock()
	due := b.describePending(r.Timer.Now())
	if b.over() || b.unstored || !schedule.ShouldWrite(due) {
		active := !b.over()
		b.mu.Unlock()
		return active
	}
	results := b.pending
	b.pending, b.pendingCompletesGroup = nil, false
	var progress []submission.Progress
	if !due.EndsStep() {
		// The trainer waits for results that end its step; storing the texts of
		// unfinished items with them would delay them.
		progress = b.progress(minProgressEvents)
	}
	b.mu.Unlock()
	for len(results) > 0 {
		n := ledger.ChunkLen(results)
		if !r.appendChunk(b, results[:n], progress) {
			return false
		}
		results, progress = results[n:], nil
	}
	return true
}

// appendChunk writes one chunk of results and lists it. It repeats the write
// while the key-value service is unavailable, and reports false when nothing more
// is to be written here. The end of a batch does not cancel a write: a chunk that
// was stored without this process knowing would be in the ledger but not listed
// here, and a result that was read once would be missing in the next answer.
func (r *Runner) appendChunk(b *Batch, results []submission.Result, progress []submission.Progress) bool {
	b.mu.Lock()
	claim := b.claim
	b.writeInFlight, b.writeStartedAt = true, r.Timer.Now()
	b.mu.Unlock()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		next, err := r.Ledger.Append(ctx, claim, results, progress)
		cancel()
		if err == nil {
			b.mu.Lock()
			b.claim = next
			b.writeInFlight = false
			// The chunk may have been stored by an earlier attempt.
			b.confirmed(b.writeStartedAt)
			b.listResults(results, r.Timer.Now())
			b.mu.Unlock()
			return true
		}
		b.mu.Lock()
		over := b.over()
		b.mu.Unlock()
		if over || errors.Is(err, ledger.ErrFenced) {
			r.Drop(b.sub.ID, err)
			return false
		}
		r.Journal.Warn("results not written", err, log.Fields{
			"request_id": b.sub.ID,
			"results":    len(results),
		})
		if !timer.Wait(r.Timer, writeRetryPause, r.tomb.Dying()) {
			return false
		}
	}
}

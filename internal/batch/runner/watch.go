package runner

import (
	"sort"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// watch checks all batches at an interval until the runner stops. While no batch
// needs work no timer runs: an idle instance costs next to nothing.
func (r *Runner) watch() error {
	for {
		select {
		case <-r.batchStarted.C():
		case <-r.tomb.Dying():
			return nil
		}
		ticks := r.Timer.Every(checkInterval)
		for r.checkBatches() {
			select {
			case <-ticks.C:
			case <-r.tomb.Dying():
				ticks.Close()
				return nil
			}
		}
		ticks.Close()
	}
}

// checkBatches checks each batch in memory, after dropping the old ones. It
// reports whether any of them still needs work.
func (r *Runner) checkBatches() bool {
	now := r.Timer.Now()
	r.mu.Lock()
	list := make([]*Batch, 0, len(r.batches))
	for id, b := range r.batches {
		if time.Since(b.sub.Submitted()) > forgetAfter {
			b.cancel()
			delete(r.batches, id)
			continue
		}
		list = append(list, b)
	}
	r.mu.Unlock()
	// Earlier steps are due earlier, so their work counts first.
	sort.Slice(list, func(i, j int) bool { return list[i].sub.SubmittedMS < list[j].sub.SubmittedMS })
	r.lending.forget(now)
	active := false
	workByModel := make(map[string]time.Duration)
	tooLarge, waiting := 0, 0
	for _, b := range list {
		if r.checkBatch(b, workByModel, now) {
			active = true
			b.mu.Lock()
			tooLarge += b.itemsTooLarge()
			waiting += b.itemsWaitingForMemory()
			b.mu.Unlock()
		}
	}
	r.Metrics.setItemsHeldBack(tooLarge, waiting)
	return active
}

// checkBatch does the periodic work for one batch: it gives up overdue items, orders
// the queue, answers waiting reads and moves streams that fell behind. It reports
// whether the batch still needs work. workByModel is the work of earlier steps by
// model; that of this step is added.
func (r *Runner) checkBatch(b *Batch, workByModel map[string]time.Duration, now timer.Instant) bool {
	b.mu.Lock()
	r.checkBorrowing(b, now)
	if b.over() || b.open == 0 && len(b.pending) == 0 {
		b.mu.Unlock()
		return false
	}
	if b.requestsStopped(now) {
		b.mu.Unlock()
		r.Drop(b.sub.ID, errNotRequested)
		return false
	}
	if b.timeLeft(now) <= 0 && b.open > 0 {
		r.Journal.Decision("give_up", log.Fields{
			"request_id": b.sub.ID,
			"unfinished": b.open,
		})
		b.giveUp(now)
	}
	r.confirmClaim(b, now)
	b.medianPace = r.medianPace(b)
	if b.nextReady(now) >= 0 {
		r.lending.recordWaiting(b.sub.Model, now)
	}
	workByModel[b.sub.Model] = r.rankQueue(b, workByModel[b.sub.Model], now)
	r.estimateEnd(b, now)
	b.releaseReads(now)
	r.measurePaces(b, now)
	r.moveOutOfRegions(b, now)
	r.moveFailing(b, now)
	r.moveFromEvacuated(b, now)
	r.moveToFaster(b, now)
	b.mu.Unlock()
	b.dispatchWake.Set()
	b.writeWake.Set()
	return true
}

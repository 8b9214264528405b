package runner

import (
	"sort"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// watch looks after all batches until the runner stops. Without open batches
// nothing wakes it: an idle instance costs next to nothing.
func (r *Runner) watch() error {
	for {
		select {
		case <-r.begun.C():
		case <-r.tomb.Dying():
			return nil
		}
		sub := r.Timer.Every(lookEvery)
		for r.look() {
			select {
			case <-sub.C:
			case <-r.tomb.Dying():
				sub.Close()
				return nil
			}
		}
		sub.Close()
	}
}

// look moves streams that fell behind and forgets old batches. It reports
// whether any batch is not over.
func (r *Runner) look() bool {
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
	// Earlier steps are due earlier: their work goes first.
	sort.Slice(list, func(i, j int) bool { return list[i].sub.SubmittedMS < list[j].sub.SubmittedMS })
	any := false
	work := make(map[string]time.Duration)
	for _, b := range list {
		if r.lookAt(b, work, now) {
			any = true
		}
	}
	return any
}

// lookAt looks at one batch and reports whether it is not over. work is that of
// earlier steps by model.
func (r *Runner) lookAt(b *Batch, work map[string]time.Duration, now timer.Instant) bool {
	b.mu.Lock()
	if b.over() || b.open == 0 && len(b.pending) == 0 {
		b.mu.Unlock()
		return false
	}
	if b.unwanted(now) {
		b.mu.Unlock()
		r.Lose(b.sub.ID, errUnwanted)
		return false
	}
	if b.left(now) <= 0 && b.open > 0 {
		r.Journal.Decision("give_up", log.Fields{
			"request_id": b.sub.ID,
			"unfinished": b.open,
		})
		b.giveUp(now)
	}
	b.usual = r.usual(b)
	work[b.sub.Model] = r.rank(b, work[b.sub.Model], now)
	r.expect(b, now)
	b.turn(now)
	r.measure(b, now)
	r.rescue(b, now)
	r.speedUp(b, now)
	b.mu.Unlock()
	b.wake.Set()
	b.write.Set()
	return true
}

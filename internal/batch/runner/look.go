package runner

import (
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// watch looks after all batches until the runner stops. Without open batches
// nothing wakes it: an idle instance costs next to nothing.
func (r *Runner) watch() error {
	for {
		select {
		case <-r.begun:
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
	any := false
	for _, b := range list {
		if r.lookAt(b, now) {
			any = true
		}
	}
	return any
}

// lookAt looks at one batch and reports whether it is not over.
func (r *Runner) lookAt(b *Batch, now timer.Instant) bool {
	b.mu.Lock()
	if b.over() || b.open == 0 && len(b.pending) == 0 {
		b.mu.Unlock()
		return false
	}
	if b.left(now) <= 0 && b.open > 0 {
		r.Journal.Decision("give_up", log.Fields{
			"request_id": b.sub.ID,
			"unfinished": b.open,
		})
		b.giveUp(now)
	}
	usual := r.usual(b)
	engines := r.engines(b, now)
	for _, t := range b.tasks {
		if t.phase == running && !t.moving {
			r.mayMove(b, t, usual, engines, now)
		}
	}
	b.mu.Unlock()
	signal(b.wake)
	signal(b.write)
	return true
}

// mayMove moves a stream to another engine if waiting costs more. The lock is
// held.
func (r *Runner) mayMove(b *Batch, t *task, usual time.Duration, engines []candidate, now timer.Instant) {
	to := -1
	for i := range engines {
		e := &engines[i]
		if e.u != t.upstream && e.Room >= 1 && e.Pace <= 1.5 {
			to = i
			break
		}
	}
	p := schedule.Progress{
		Waited: now.Sub(t.heard),
		Ran:    now.Sub(t.begun),
		Events: t.made,
		Moves:  t.moves,
	}
	if !schedule.Move(p, usual, to >= 0) {
		return
	}
	engines[to].Room--
	t.moving = true
	t.moves++
	t.stuck = p.Waited > usual*3
	t.cancel()
	r.Metrics.moved()
	r.Journal.Decision("move", log.Fields{
		"request_id": t.item.ID,
		"batch":      b.sub.ID,
		"from":       t.upstream.ID,
		"after":      t.last,
		"waited_ms":  p.Waited.Milliseconds(),
		"ran_ms":     p.Ran.Milliseconds(),
		"events":     p.Events,
		"usual_ms":   usual.Milliseconds(),
	})
}

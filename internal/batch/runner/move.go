package runner

import (
	"sort"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// measure notes the pace of engines by the streams that run there. An engine
// that turned slow is known after some events, long before a stream ends.
// The lock is held.
func (r *Runner) measure(b *Batch, now timer.Instant) {
	for _, t := range b.tasks {
		if t.phase != running || t.moving {
			continue
		}
		if pace, ok := t.pace(paceSpan); ok {
			t.upstream.Measured(pace, now)
		}
	}
}

// progressOf describes the running attempt of a task. The lock is held.
func (r *Runner) progressOf(t *task, usual time.Duration, now timer.Instant) schedule.Progress {
	return schedule.Progress{
		Waited:   now.Sub(t.heard),
		Ran:      now.Sub(t.begun),
		Events:   t.made,
		Made:     t.last,
		Moves:    t.moves,
		Expected: r.lengths.Events(t.tokens),
		Most:     r.lengths.Most(t.item.MostTokens),
		Pace:     t.upstream.Against(usual.Seconds(), now),
	}
}

// steady is the most that the pace of an engine may be to take in a stream that
// another one fails.
const steady = 1.5

// rescue moves the streams that are silent or much too slow. The lock is held.
func (r *Runner) rescue(b *Batch, now timer.Instant) {
	usual := r.usual(b)
	engines := r.engines(b, now)
	for _, t := range b.tasks {
		if t.phase != running || t.moving {
			continue
		}
		to := -1
		for i := range engines {
			e := &engines[i]
			if e.u != t.upstream && e.Room >= 1 && e.Pace <= steady {
				to = i
				break
			}
		}
		p := r.progressOf(t, usual, now)
		if !schedule.Move(p, usual, to >= 0) {
			continue
		}
		engines[to].Room--
		t.stuck = p.Waited > usual*3
		r.move(b, t, p, usual, "failing")
	}
}

// speedUp moves streams to faster engines that have become free, those first
// that gain the most. The lock is held.
func (r *Runner) speedUp(b *Batch, now timer.Instant) {
	if b.next(now) >= 0 {
		// Items that wait need the free slots more.
		return
	}
	usual := r.usual(b)
	if usual <= 0 {
		return
	}
	list := r.engines(b, now)
	plain := plainOf(list)
	type wish struct {
		t    *task
		p    schedule.Progress
		gain time.Duration
	}
	var wishes []wish
	to := schedule.Pick(plain, schedule.Need{})
	if to < 0 {
		return
	}
	for _, t := range b.tasks {
		if t.phase != running || t.moving || t.upstream == list[to].u {
			continue
		}
		p := r.progressOf(t, usual, now)
		if gain := schedule.Gain(p, usual, plain[to].Pace); gain > 0 {
			wishes = append(wishes, wish{
				t:    t,
				p:    p,
				gain: gain,
			})
		}
	}
	sort.Slice(wishes, func(i, j int) bool { return wishes[i].gain > wishes[j].gain })
	for _, w := range wishes {
		to := pickBut(plain, list, w.t.upstream, schedule.Need{})
		if to < 0 || schedule.Gain(w.p, usual, plain[to].Pace) == 0 {
			return
		}
		plain[to].Room--
		w.t.stuck = false
		r.move(b, w.t, w.p, usual, "faster")
	}
}

// move ends an attempt so that the item goes on elsewhere. The lock is held.
func (r *Runner) move(b *Batch, t *task, p schedule.Progress, usual time.Duration, why string) {
	t.moving = true
	t.moves++
	t.left = t.upstream
	t.cancel()
	r.Metrics.moved()
	r.Journal.Decision("move", log.Fields{
		"request_id": t.item.ID,
		"batch":      b.sub.ID,
		"from":       t.upstream.ID,
		"why":        why,
		"after":      t.last,
		"waited_ms":  p.Waited.Milliseconds(),
		"ran_ms":     p.Ran.Milliseconds(),
		"events":     p.Events,
		"pace":       p.Pace,
		"usual_ms":   usual.Milliseconds(),
	})
}

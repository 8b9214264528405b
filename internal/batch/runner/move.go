package runner

import (
	"sort"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// measurePaces records the pace of engines as measured by the streams that run
// there. An engine that has become slow is known after some events, long before a
// stream ends. The caller holds b.mu.
func (r *Runner) measurePaces(b *Batch, now timer.Instant) {
	for _, t := range b.tasks {
		if t.phase != running || t.moving {
			continue
		}
		if pace, ok := t.pace(paceEvents); ok {
			t.upstream.RecordPace(pace, now)
		}
	}
}

// progressOf describes the running attempt of a task. The caller holds the
// batch's lock.
func (r *Runner) progressOf(t *task, medianPace time.Duration, now timer.Instant) schedule.Progress {
	return schedule.Progress{
		SinceLastEvent: now.Sub(t.lastEventAt),
		Ran:            now.Sub(t.attemptStart),
		Events:         t.attemptEvents,
		TotalEvents:    t.lastEvent,
		Moves:          t.moves,
		ExpectedEvents: r.lengths.Events(t.tokens),
		MaxEvents:      r.lengths.MaxEvents(t.item.MostTokens),
		Pace:           t.upstream.RelativePace(medianPace.Seconds(), now),
	}
}

// maxRescuePace is the highest pace, relative to the median, of an engine that
// takes a stream from a failing engine.
const maxRescuePace = 1.5

// moveFailing moves the streams that are stalled or much too slow. The caller
// holds b.mu.
func (r *Runner) moveFailing(b *Batch, now timer.Instant) {
	medianPace := r.medianPace(b)
	candidates := r.availableCandidates(b, now)
	for _, t := range b.tasks {
		if t.phase != running || t.moving {
			continue
		}
		to := -1
		for i := range candidates {
			e := &candidates[i]
			if e.u != t.upstream && e.FreeSlots >= 1 && e.Pace <= maxRescuePace {
				to = i
				break
			}
		}
		p := r.progressOf(t, medianPace, now)
		if !schedule.ShouldMove(p, medianPace, to >= 0) {
			continue
		}
		candidates[to].FreeSlots--
		t.stalled = p.SinceLastEvent > medianPace*3
		r.moveItem(b, t, p, medianPace, "failing")
	}
}

// moveToFaster moves streams to faster engines that have free slots, those with
// the largest gain first. The caller holds b.mu.
func (r *Runner) moveToFaster(b *Batch, now timer.Instant) {
	if b.nextReady(now) >= 0 {
		// Queued items need the free slots more.
		return
	}
	medianPace := r.medianPace(b)
	if medianPace <= 0 {
		return
	}
	candidates := r.availableCandidates(b, now)
	engines := enginesOf(candidates)
	type proposedMove struct {
		t    *task
		p    schedule.Progress
		gain time.Duration
	}
	var moves []proposedMove
	to := schedule.Pick(engines, schedule.Need{})
	if to < 0 {
		return
	}
	for _, t := range b.tasks {
		if t.phase != running || t.moving || t.upstream == candidates[to].u {
			continue
		}
		p := r.progressOf(t, medianPace, now)
		if gain := schedule.MoveGain(p, medianPace, engines[to].Pace); gain > 0 {
			moves = append(moves, proposedMove{
				t:    t,
				p:    p,
				gain: gain,
			})
		}
	}
	sort.Slice(moves, func(i, j int) bool { return moves[i].gain > moves[j].gain })
	for _, m := range moves {
		to := pickAvoiding(engines, candidates, m.t.upstream, schedule.Need{})
		if to < 0 || schedule.MoveGain(m.p, medianPace, engines[to].Pace) == 0 {
			return
		}
		engines[to].FreeSlots--
		m.t.stalled = false
		r.moveItem(b, m.t, m.p, medianPace, "faster")
	}
}

// moveItem cancels the running attempt of a task so that the item continues at
// another engine. The caller holds b.mu.
func (r *Runner) moveItem(b *Batch, t *task, p schedule.Progress, medianPace time.Duration, reason string) {
	t.moving = true
	t.moves++
	t.movedFrom = t.upstream
	t.cancel()
	r.Metrics.itemMoved()
	r.Journal.Decision("move", log.Fields{
		"request_id": t.item.ID,
		"batch":      b.sub.ID,
		"from":       t.upstream.ID,
		"why":        reason,
		"after":      t.lastEvent,
		"waited_ms":  p.SinceLastEvent.Milliseconds(),
		"ran_ms":     p.Ran.Milliseconds(),
		"events":     p.Events,
		"pace":       p.Pace,
		"usual_ms":   medianPace.Milliseconds(),
	})
}

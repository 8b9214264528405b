package runner

import (
	"slices"
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
		start := t.paceMarkAt
		if pace, ok := t.pace(paceEvents); ok {
			t.upstream.RecordPaceSince(pace, start, now)
		}
	}
}

// progressOf describes the running attempt of a task. paceNoise is the usual noise of the
// paces at the batch's engines. The caller holds the batch's lock.
func (r *Runner) progressOf(t *task, medianPace time.Duration, paceNoise float64, now timer.Instant) schedule.Progress {
	p := schedule.Progress{
		SinceLastEvent:  now.Sub(t.lastEventAt),
		Ran:             now.Sub(t.attemptStart),
		Events:          t.attemptEvents,
		TotalEvents:     t.lastEvent,
		Moves:           t.moves,
		ExpectedEvents:  r.lengths.Events(t.tokens),
		MaxEvents:       r.lengths.MaxEvents(t.item.MostTokens),
		Pace:            t.upstream.RelativePace(medianPace.Seconds(), now),
		PaceNoise:       max(paceNoise, t.upstream.PaceNoise()),
		FirstEventAfter: t.firstEventAfter,
		Slowdown:        schedule.Slowdown(t.upstream.Slowdown(now)),
		SlowRatio:       t.upstream.SlowdownSince(t.attemptStart),
		MoveCost:        schedule.MoveCost(r.reading.Expected(r.tokensToRead(t))),
	}
	if t.upstream.InService(now) {
		// An engine that is ejected is not reading prompts but failing.
		p.Reading = r.reading.Expected(t.upstream.PromptsAhead(t.promptMark))
	}
	return p
}

// tokensToRead returns how many tokens an engine reads before it continues an item: its
// prompt and the text so far; 0 if unknown. The caller holds the batch's lock.
func (r *Runner) tokensToRead(t *task) int64 {
	if t.item.PromptTokens == 0 {
		return 0
	}
	return int64(t.item.PromptTokens + r.lengths.Tokens(t.lastEvent))
}

// recordFirstEvent records that an engine has read the prompt of a task. The caller holds
// b.mu.
func (r *Runner) recordFirstEvent(b *Batch, t *task, now timer.Instant) {
	t.firstEventAfter = now.Sub(t.attemptStart)
	if t.promptTokens > 0 {
		took := time.Duration(float64(t.firstEventAfter) / t.upstream.SlowdownSince(t.attemptStart))
		r.reading.Record(t.upstream.PromptsAhead(t.promptMark), took-b.medianPace)
	}
	t.upstream.PromptRead(t.promptTokens)
	t.promptTokens = 0
}

// slowTogether reports whether all engines of a step are slow at its start, or were a
// moment ago, so that no stream is moved for being slow. The caller holds b.mu.
func (r *Runner) slowTogether(b *Batch, usable int, medianPace time.Duration, paceNoise float64, now timer.Instant) bool {
	age := now.Sub(b.startedAt)
	if !schedule.AtStepStart(age) {
		return now < b.movesHeldUntil
	}
	var streams []schedule.Stream
	for _, t := range b.tasks {
		if t.phase == running && !t.moving {
			streams = append(streams, schedule.Stream{
				Engine:   t.upstream.ID,
				Progress: r.progressOf(t, medianPace, paceNoise, now),
			})
		}
	}
	if !schedule.SlowTogether(streams, usable, medianPace, age) {
		return now < b.movesHeldUntil
	}
	first := b.movesHeldUntil == 0
	b.movesHeldUntil = b.startedAt.Add(schedule.HoldMovesUntil(age))
	if first {
		r.Journal.Decision("hold_moves", log.Fields{
			"request_id": b.sub.ID,
			"why":        "all engines of the step are slow at its start",
			"streams":    len(streams),
			"engines":    usable,
			"age_ms":     age.Milliseconds(),
		})
	}
	return true
}

// maxRescuePace is the highest pace, relative to the median, of an engine that
// takes a stream from a failing engine.
const maxRescuePace = 1.5

// moveFailing moves the streams that are stalled or much too slow. The caller
// holds b.mu.
func (r *Runner) moveFailing(b *Batch, now timer.Instant) {
	medianPace, paceNoise := r.medianPace(b), r.paceNoise(b)
	candidates := r.availableCandidates(b, now)
	usable := len(candidates)
	if len(r.engineGroup(b).Upstreams) > maxWholeService && schedule.AtStepStart(now.Sub(b.startedAt)) && !b.crowds(candidates) {
		// The candidates may be a part of the usable engines.
		usable = r.usableEngines(b, now)
	}
	if r.slowTogether(b, usable, medianPace, paceNoise, now) {
		return
	}
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
		p := r.progressOf(t, medianPace, paceNoise, now)
		if !schedule.ShouldMove(p, medianPace, to >= 0) {
			continue
		}
		candidates[to].FreeSlots--
		t.stalled = p.SinceLastEvent > medianPace*3
		reason := "slow"
		if p.Stalled(medianPace) {
			reason = "stalled"
		}
		r.moveItem(b, t, p, medianPace, "failing", reason)
	}
}

// moveFromEvacuated moves the long streams of evacuated engines while other engines have free
// slots. A stream whose text must come from one version moves only to an engine with that
// version. The caller holds b.mu.
func (r *Runner) moveFromEvacuated(b *Batch, now timer.Instant) {
	if len(r.Upstreams.Group(b.service).EvacuatedDomains) == 0 || b.nextReady(now) >= 0 {
		// Queued items need the free slots more.
		return
	}
	medianPace, paceNoise := r.medianPace(b), r.paceNoise(b)
	candidates := r.availableCandidates(b, now)
	for _, t := range b.tasks {
		if t.phase != running || t.moving || !t.upstream.Evacuated() {
			continue
		}
		p := r.progressOf(t, medianPace, paceNoise, now)
		if !schedule.LeavesEvacuated(p, medianPace) {
			continue
		}
		to := slices.IndexFunc(candidates, func(c candidate) bool {
			sameText := !r.needsSingleVersion(b) || t.lastEvent == 0 || c.u.ModelVersion(b.sub.Model) == t.versions[0]
			return c.FreeSlots >= 1 && c.Pace <= maxRescuePace && sameText
		})
		if to < 0 {
			continue
		}
		candidates[to].FreeSlots--
		t.stalled = false
		r.moveItem(b, t, p, medianPace, "the failure domain "+t.upstream.FailureDomain+" is evacuated", "evacuated")
	}
}

// moveToFaster moves streams to faster engines that have free slots, those with
// the largest gain first. The caller holds b.mu.
func (r *Runner) moveToFaster(b *Batch, now timer.Instant) {
	if b.nextReady(now) >= 0 {
		// Queued items need the free slots more.
		return
	}
	medianPace, paceNoise := r.medianPace(b), r.paceNoise(b)
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
		p := r.progressOf(t, medianPace, paceNoise, now)
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
		r.moveItem(b, m.t, m.p, medianPace, "faster", "faster")
	}
}

// moveItem cancels the running attempt of a task so that the item continues at
// another engine. reason is more precise than why, except for an evacuation. The caller holds
// b.mu.
func (r *Runner) moveItem(b *Batch, t *task, p schedule.Progress, medianPace time.Duration, why, reason string) {
	t.moving = true
	t.moves++
	t.movedFrom = t.upstream
	t.cancel()
	r.Metrics.itemMoved(reason)
	r.Journal.Decision("move", log.Fields{
		"request_id": t.item.ID,
		"batch":      b.sub.ID,
		"from":       t.upstream.ID,
		"why":        why,
		"reason":     reason,
		"after":      t.lastEvent,
		"waited_ms":  p.SinceLastEvent.Milliseconds(),
		"ran_ms":     p.Ran.Milliseconds(),
		"events":     p.Events,
		"pace":       p.Pace,
		"noise":      p.PaceNoise,
		"slowdown":   p.Slowdown.Ratio,
		"reading_ms": p.Reading.Milliseconds(),
		"cost_ms":    p.MoveCost.Milliseconds(),
		"usual_ms":   medianPace.Milliseconds(),
	})
}

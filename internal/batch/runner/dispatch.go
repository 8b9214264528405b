package runner

import (
	"context"
	"errors"
	"slices"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// dispatchLoop starts the items of a batch as engines have free slots, until all
// items are finished or the batch is over.
func (r *Runner) dispatchLoop(b *Batch) {
	for {
		b.mu.Lock()
		r.dispatch(b)
		done := b.over() || b.open == 0
		b.mu.Unlock()
		if done {
			return
		}
		select {
		case <-b.dispatchWake.C():
		case <-b.ctx.Done():
			return
		case <-r.tomb.Dying():
			return
		}
	}
}

// dispatch starts as many queued items as the engines have free slots for. The
// caller holds b.mu.
func (r *Runner) dispatch(b *Batch) {
	now := r.Timer.Now()
	if b.over() || b.nextReady(now) < 0 {
		return
	}
	candidates := r.availableCandidates(b, now)
	engines := enginesOf(candidates)
	medianPace := r.medianPace(b)
	b.medianPace = medianPace
	for i := b.nextReady(now); i >= 0; i = b.nextReady(now) {
		t := b.queue[i]
		need := r.needOf(b, t, medianPace, now)
		picked := pickAvoiding(engines, candidates, t.movedFrom, need)
		if picked < 0 {
			return
		}
		engines[picked].FreeSlots--
		engines[picked].Reserved += need.Memory
		b.queue = slices.Delete(b.queue, i, i+1)
		r.startAttempt(b, t, candidates[picked].u, need, now)
	}
}

// startAttempt starts one attempt at an item. The caller holds b.mu.
func (r *Runner) startAttempt(b *Batch, t *task, u *catalog.Upstream, need schedule.Need, now timer.Instant) {
	ctx, cancel := context.WithCancel(b.ctx)
	t.phase = running
	t.upstream = u
	t.cancel = cancel
	t.attemptStart = now
	t.lastEventAt = now
	t.attemptEvents = 0
	t.paceMark = 0
	t.moving = false
	t.stalled = false
	t.attempts++
	t.timings.waited += t.timings.lap(now)
	t.reserved = need.Memory
	u.Reserve(t.reserved)
	u.Begin()
	g := Attempt{
		Batch:         b.sub,
		Item:          t.item,
		Route:         b.route,
		After:         t.lastEvent,
		OldestVersion: b.sub.OldestVersion,
		TimeLeft:      b.timeLeft(now),
		Urgent:        !need.Short() || b.carriedOver[t.item.Group],
		OnLoadReport:  func(report engine.LoadReport) { u.RecordReport(report, r.Timer.Now()) },
	}
	go func() {
		defer cancel()
		err := r.Generator.Generate(ctx, u, g, func(e Event) error { return r.handleEvent(b, t, e) })
		r.attemptEnded(b, t, u, err)
	}()
}

// errStaleWeights ends an attempt whose engine has weights that are too old for
// the batch.
var errStaleWeights = errors.New("the engine's weights are too old for the batch")

// errOutOfOrder ends an attempt whose events are not numbered consecutively.
var errOutOfOrder = errors.New("event number out of order")

// handleEvent adds one event of a stream to its task. An error ends the attempt.
func (r *Runner) handleEvent(b *Batch, t *task, e Event) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.moving || b.over() {
		return context.Canceled
	}
	if e.Version != 0 && e.Version < b.sub.OldestVersion {
		return errStaleWeights
	}
	if b.route.SingleVersion && len(t.versions) > 0 && e.Version != t.versions[0] {
		// The text is generated again from its start: the route has no use for a
		// sample made by two versions.
		return errStaleWeights
	}
	now := r.Timer.Now()
	t.timings.addPause(now.Sub(t.lastEventAt), b.medianPace)
	t.upstream.RecordEvent(now)
	if !t.addEvent(e, now) {
		return errOutOfOrder
	}
	t.backoff.reset()
	return nil
}

// attemptEnded handles the end of one attempt: it has a completed text scored,
// and otherwise queues the item again or ends it as dead.
func (r *Runner) attemptEnded(b *Batch, t *task, u *catalog.Upstream, err error) {
	now := r.Timer.Now()
	b.mu.Lock()
	u.Reserve(-t.reserved)
	r.recordOutcome(t, u, err, now)
	t.timings.ran += t.timings.lap(now)
	if err != nil {
		t.timings.addPause(now.Sub(t.lastEventAt), b.medianPace)
	}
	r.Metrics.countAttempt(err)
	if t.phase == finished || b.over() {
		b.mu.Unlock()
		return
	}
	if err == nil {
		t.phase = scoring
		b.mu.Unlock()
		b.dispatchWake.Set()
		r.score(b, t)
		return
	}
	if !t.moving {
		r.Journal.Decision("attempt_failed", log.Fields{
			"request_id": t.item.ID,
			"batch":      b.sub.ID,
			"upstream":   u.ID,
			"after":      t.lastEvent,
			"losses":     t.backoff.losses,
			"error":      err.Error(),
		})
	}
	switch {
	case errors.Is(err, engine.ErrUnservable):
		r.markDead(b, t, "impossible", now)
	case errors.Is(err, engine.ErrAttemptFailed):
		t.failures++
		if t.failures >= max(1, b.route.Attempts) {
			r.markDead(b, t, "attempts", now)
		}
	case errors.Is(err, errStaleWeights):
		t.discardEvents()
	case errors.Is(err, engine.ErrIncompleteResponse) && !t.moving && t.attemptEvents == 0:
		t.backoff.engineLost(now)
	}
	if t.phase != finished {
		t.phase = waiting
		t.cancel = nil
		b.queue = append([]*task{t}, b.queue...)
	}
	b.mu.Unlock()
	b.dispatchWake.Set()
}

// recordOutcome records at the engine what the end of an attempt tells about it.
// The caller holds the batch's lock.
func (r *Runner) recordOutcome(t *task, u *catalog.Upstream, err error, now timer.Instant) {
	var refused *engine.RefusedError
	pace, _ := t.pace(minPaceEvents)
	switch {
	case err == nil, errors.Is(err, engine.ErrAttemptFailed), errors.Is(err, engine.ErrUnservable):
		u.RecordPace(pace, now)
		u.Succeeded(0)
	case errors.Is(err, engine.ErrMisdirected):
		u.MarkLeaving()
		u.Cancelled()
	case errors.As(err, &refused), errors.Is(err, errStaleWeights):
		u.RecordRefusal(now)
		u.Cancelled()
	case t.moving && t.stalled && !u.Alive(now):
		// None of the engine's streams has made an event lately: it does not
		// respond at all. If this counted like an ordinary failure, the engine
		// would get and delay five more items.
		u.Unreachable(now)
	case t.moving && t.stalled:
		u.Failed(now)
	case t.moving:
		u.RecordPace(pace, now)
		u.Cancelled()
	case errors.Is(err, context.Canceled):
		u.Cancelled()
	case errors.Is(err, engine.ErrNotSent):
		u.Unreachable(now)
	default:
		u.Failed(now)
	}
}

// markDead ends an item that can't be completed. The caller holds b.mu.
func (r *Runner) markDead(b *Batch, t *task, reason string, now timer.Instant) {
	r.Journal.Decision("dead", log.Fields{
		"request_id": t.item.ID,
		"batch":      b.sub.ID,
		"why":        reason,
		"failures":   t.failures,
	})
	b.finish(t, submission.Result{
		Item:  t.item.ID,
		State: submission.Dead,
	}, now)
}

// score has a finished text scored and records the result of its item.
func (r *Runner) score(b *Batch, t *task) {
	score := ""
	if t.item.Reward != nil {
		var err error
		score, err = r.Scorer.Score(b.ctx, t.item.Reward)
		if err != nil {
			b.mu.Lock()
			defer b.mu.Unlock()
			if !b.over() {
				r.markDead(b, t, "reward: "+err.Error(), r.Timer.Now())
			}
			return
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := r.Timer.Now()
	scored := t.timings.lap(now)
	t.timings.scored += scored
	if t.item.Reward != nil {
		r.scoring.Record(scored)
	}
	r.Metrics.itemFinished(now.Sub(b.startedAt))
	r.lengths.Record(t.item.Estimate(), t.lastEvent)
	r.lengths.RecordLimited(t.item.MostTokens, t.lastEvent)
	fields := log.Fields{
		"request_id": t.item.ID,
		"batch":      b.sub.ID,
		"group":      t.item.Group,
		"upstream":   t.upstream.ID,
		"attempts":   t.attempts,
		"moves":      t.moves,
		"events":     t.lastEvent,
		"versions":   t.versions,
		"estimate":   t.item.Estimate(),
		"age_ms":     now.Sub(b.startedAt).Milliseconds(),
	}
	t.timings.addFields(fields)
	r.Journal.Decision("item", fields)
	b.finish(t, t.result(score), now)
}

// Drop drops a batch that another process took over or ended, or that is not to
// be run here any longer.
func (r *Runner) Drop(id string, err error) {
	b := r.find(id)
	if b == nil {
		return
	}
	b.mu.Lock()
	b.lost = true
	b.notifyReaders()
	b.mu.Unlock()
	b.cancel()
	r.mu.Lock()
	delete(r.batches, b.sub.ID)
	r.mu.Unlock()
	r.Journal.Warn("batch lost", err, log.Fields{
		"request_id": b.sub.ID,
	})
}

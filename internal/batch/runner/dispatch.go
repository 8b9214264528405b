package runner

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/slowstart"
	"github.com/egretbend/egretbend/internal/route/wire"
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
	if b.over() || b.nextReady(now) < 0 || !b.claimTrusted(now) {
		return
	}
	usable, whole := r.nearCandidates(b, now)
	if !r.place(b, usable, whole, now) && !whole {
		r.place(b, r.usableCandidates(b, now), true, now)
	}
}

// place starts as many queued items as the usable engines have free slots for. If these are not
// the whole service, it stops at the first item that would have to wait and reports
// false. The caller holds b.mu.
func (r *Runner) place(b *Batch, usable []candidate, whole bool, now timer.Instant) bool {
	candidates := usable
	medianPace := r.medianPace(b)
	b.medianPace = medianPace
	if whole && b.crowds(usable) {
		// The model's own engines come first. Items that they can't take are borrowed
		// for.
		r.lending.observe(usable, now)
		candidates = ownCandidates(usable)
		defer r.borrow(b, usable, medianPace, now)
	}
	p := r.newPlacer(b, candidates, medianPace, now)
	for first := b.nextReady(now); first >= 0; first = b.nextReadyExcept(now, p.waiting) {
		i, picked, need := p.next(first)
		if picked < 0 {
			if whole && p.waitForMemory(b.queue[i], need) {
				continue
			}
			return false
		}
		t := b.queue[i]
		permit, ok := r.SlowStart.Take(p.candidates[picked].u, t.item.ID, now)
		if !ok {
			p.engines[picked].FreeSlots = 0
			continue
		}
		p.take(t, picked, need)
		b.queue = slices.Delete(b.queue, i, i+1)
		r.startAttempt(b, t, p.candidates[picked].u, permit, need, now)
	}
	return true
}

// startAttempt starts one attempt at an item, for which permit was taken. The caller holds b.mu.
func (r *Runner) startAttempt(b *Batch, t *task, u *catalog.Upstream, permit slowstart.Permit, need schedule.Need, now timer.Instant) {
	ctx, cancel := context.WithCancel(wire.WithBeforeWrite(r.withClaimCheck(b), u.CheckSend))
	ctx = permit.Guard(ctx)
	t.phase = running
	t.upstream = u
	t.cancel = cancel
	t.attemptStart = now
	t.lastEventAt = now
	t.attemptEvents = 0
	t.firstEventAfter = 0
	t.promptTokens = r.tokensToRead(t)
	t.promptMark = u.SendPrompt(t.promptTokens)
	t.paceMark = 0
	t.moving = false
	t.stalled = false
	t.attempts++
	t.timings.waited += t.timings.lap(now)
	t.reserved = need.Memory
	t.memoryWaitSince = 0
	u.Reserve(t.reserved)
	u.Begin()
	r.lending.sent()
	settle := t.loan
	attempt := Attempt{
		Batch:         b.sub,
		Item:          t.item,
		Route:         b.route,
		After:         t.lastEvent,
		OldestVersion: b.sub.OldestVersion,
		TimeLeft:      b.timeLeft(now),
		Urgent:        !need.Short() || b.carriedOver[t.item.Group],
		OnLoadReport: func(report engine.LoadReport) {
			u.RecordReport(report, r.Timer.Now())
			if settle != nil {
				settle(false, r.Timer.Now())
			}
		},
		OnConnectionIdle: func(keepAlive time.Duration) { u.ConnectionIdle(r.Timer.Now(), keepAlive) },
	}
	go func() {
		defer cancel()
		err := r.Generator.Generate(ctx, u, attempt, func(e Event) error { return r.handleEvent(b, t, e) })
		r.attemptEnded(b, t, u, err)
	}()
}

// errStaleWeights ends an attempt whose engine has weights that are too old for
// the batch.
var errStaleWeights = errors.New("the engine's weights are too old for the batch")

// errSecondVersion ends an attempt at an item of a route with a single version, if its engine
// has other weights than those that generated the text so far.
var errSecondVersion = errors.New("the engine's weights are not those of the text, which must have a single version")

// isUnfitVersion reports whether an attempt ended because the text can't go on with the engine's
// weights.
func isUnfitVersion(err error) bool {
	return errors.Is(err, errStaleWeights) || errors.Is(err, errSecondVersion)
}

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
	if len(t.versions) > 0 && e.Version != t.versions[0] && r.needsSingleVersion(b) {
		// The text is generated again from its start: the route has no use for a
		// sample generated by two versions.
		return errSecondVersion
	}
	now := r.Timer.Now()
	t.timings.addPause(now.Sub(t.lastEventAt), b.medianPace)
	t.upstream.RecordEvent(now)
	if !t.addEvent(e, now) {
		return errOutOfOrder
	}
	t.backoff.reset()
	if t.attemptEvents == 1 {
		b.acceptedAt = now
		r.recordFirstEvent(b, t, now)
	}
	return nil
}

// attemptEnded handles the end of one attempt: it has a completed text scored, and
// otherwise queues the item again or marks it dead.
func (r *Runner) attemptEnded(b *Batch, t *task, u *catalog.Upstream, err error) {
	now := r.Timer.Now()
	b.mu.Lock()
	u.Reserve(-t.reserved)
	r.endLoan(b, t, err, now)
	u.PromptRead(t.promptTokens)
	t.promptTokens = 0
	if err != nil && t.attemptEvents == 0 && t.sharesPrompt() {
		b.promptNotRead(t, u)
	}
	r.recordOutcome(t, u, err, r.tooLarge(b, t), now)
	t.timings.ran += t.timings.lap(now)
	if err != nil {
		t.timings.addPause(now.Sub(t.lastEventAt), b.medianPace)
	}
	r.Metrics.countAttempt(err)
	if t.phase == finished || b.over() {
		b.mu.Unlock()
		return
	}
	if err == nil && len(t.versions) > 1 && r.needsSingleVersion(b) {
		err = errSecondVersion
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
	case isUnfitVersion(err):
		r.discardText(b, t, u, err)
	case errors.As(err, new(*engine.RefusedError)):
		r.itemRefused(b, t, now)
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

// discardText drops the text of an item, which is generated again from its start. The caller
// holds b.mu.
func (r *Runner) discardText(b *Batch, t *task, u *catalog.Upstream, cause error) {
	if t.lastEvent > 0 {
		r.Journal.Decision("discard_text", log.Fields{
			"request_id": t.item.ID,
			"batch":      b.sub.ID,
			"upstream":   u.ID,
			"events":     t.lastEvent,
			"versions":   formatVersions(t.versions),
			"error":      cause.Error(),
		})
	}
	t.discardEvents()
}

// recordOutcome records in the state of the engine how an attempt there ended.
// tooLarge says that no engine can hold the item. The caller holds the batch's lock.
func (r *Runner) recordOutcome(t *task, u *catalog.Upstream, err error, tooLarge bool, now timer.Instant) {
	var refused *engine.RefusedError
	start := t.paceMarkAt
	pace, _ := t.pace(minPaceEvents)
	switch {
	case err == nil, errors.Is(err, engine.ErrAttemptFailed), errors.Is(err, engine.ErrUnservable):
		u.RecordPaceSince(pace, start, now)
		u.Succeeded(0)
	case errors.Is(err, engine.ErrMisdirected):
		u.MarkLeaving()
		u.Cancelled()
	case errors.As(err, &refused) && tooLarge:
		// The refusal says nothing about the engine, which takes other items.
		u.Cancelled()
	case errors.As(err, &refused), isUnfitVersion(err):
		u.RecordRefusal(now)
		u.Cancelled()
	case t.moving && t.stalled && !u.Alive(now):
		// None of the engine's streams has had an event lately: it does not
		// respond at all. If this counted like an ordinary failure, the engine
		// would get and delay five more items.
		u.Unreachable(now)
	case t.moving && t.stalled:
		u.Failed(now)
	case t.moving:
		u.RecordPaceSince(pace, start, now)
		u.Cancelled()
	case errors.Is(err, errUnconfirmed):
		u.Cancelled()
	case errors.Is(err, engine.ErrWithdrawn):
		// The item must not be sent again in a loop while its engine may still be chosen.
		u.RecordRefusal(now)
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

// formatVersions returns weight versions for the log, separated by commas.
func formatVersions(versions []uint64) string {
	list := make([]string, 0, len(versions))
	for _, v := range versions {
		list = append(list, strconv.FormatUint(v, 10))
	}
	return strings.Join(list, ",")
}

// score has a finished text scored and records the result of its item.
func (r *Runner) score(b *Batch, t *task) {
	score := ""
	if t.item.Reward != nil {
		var err error
		score, err = r.Scorer.Score(b.ctx, t.item.Reward, b.sub.Organisation, b.dueAt())
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
		"warm":       t.warmAttempts,
		"moves":      t.moves,
		"events":     t.lastEvent,
		"versions":   formatVersions(t.versions),
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

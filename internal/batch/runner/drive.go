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

// drive begins the items of a batch as engines have room.
func (r *Runner) drive(b *Batch) {
	for {
		b.mu.Lock()
		r.pump(b)
		done := b.over() || b.open == 0
		b.mu.Unlock()
		if done {
			return
		}
		select {
		case <-b.wake.C():
		case <-b.ctx.Done():
			return
		case <-r.tomb.Dying():
			return
		}
	}
}

// pump begins as many items as there is room for. The lock is held.
func (r *Runner) pump(b *Batch) {
	now := r.Timer.Now()
	if b.over() || b.next(now) < 0 {
		return
	}
	list := r.engines(b, now)
	plain := plainOf(list)
	usual := r.usual(b)
	b.usual = usual
	for i := b.next(now); i >= 0; i = b.next(now) {
		t := b.queue[i]
		need := r.needOf(b, t, usual, now)
		at := pickBut(plain, list, t.left, need)
		if at < 0 {
			return
		}
		plain[at].Room--
		plain[at].Reserved += need.Memory
		b.queue = slices.Delete(b.queue, i, i+1)
		r.begin(b, t, list[at].u, need, now)
	}
}

// begin starts one attempt. The lock is held.
func (r *Runner) begin(b *Batch, t *task, u *catalog.Upstream, need schedule.Need, now timer.Instant) {
	ctx, cancel := context.WithCancel(b.ctx)
	t.phase = running
	t.upstream = u
	t.cancel = cancel
	t.begun = now
	t.heard = now
	t.made = 0
	t.marked = 0
	t.moving = false
	t.stuck = false
	t.attempts++
	t.spent.waited += t.spent.lap(now)
	t.reserved = need.Memory
	u.Reserve(t.reserved)
	u.Begin()
	g := Generation{
		Batch:  b.sub,
		Item:   t.item,
		Route:  b.route,
		After:  t.last,
		Oldest: b.sub.OldestVersion,
		Left:   b.left(now),
		Urgent: !need.Short() || b.again[t.item.Group],
		Heard:  func(report engine.Report) { u.Heard(report, r.Timer.Now()) },
	}
	go func() {
		defer cancel()
		err := r.Generator.Generate(ctx, u, g, func(e Event) error { return r.event(b, t, e) })
		r.attempted(b, t, u, err)
	}()
}

// errStale ends an attempt whose engine has weights too old for the batch.
var errStale = errors.New("the engine's weights are too old for the batch")

// errDisorder ends an attempt whose events don't follow each other.
var errDisorder = errors.New("an event is not the next one")

// event takes one event of a stream.
func (r *Runner) event(b *Batch, t *task, e Event) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.moving || b.over() {
		return context.Canceled
	}
	if e.Version != 0 && e.Version < b.sub.OldestVersion {
		return errStale
	}
	if b.route.SingleVersion && len(t.versions) > 0 && e.Version != t.versions[0] {
		// The text begins anew: a sample of two versions is of no use there.
		return errStale
	}
	now := r.Timer.Now()
	t.spent.still(now.Sub(t.heard), b.usual)
	t.upstream.Made(now)
	if !t.add(e, now) {
		return errDisorder
	}
	t.setback.gotOn()
	return nil
}

// attempted handles the end of one attempt.
func (r *Runner) attempted(b *Batch, t *task, u *catalog.Upstream, err error) {
	now := r.Timer.Now()
	b.mu.Lock()
	u.Reserve(-t.reserved)
	r.account(t, u, err, now)
	t.spent.ran += t.spent.lap(now)
	if err != nil {
		t.spent.still(now.Sub(t.heard), b.usual)
	}
	r.Metrics.attempt(err)
	if t.phase == finished || b.over() {
		b.mu.Unlock()
		return
	}
	if err == nil {
		t.phase = scoring
		b.mu.Unlock()
		b.wake.Set()
		r.score(b, t)
		return
	}
	if !t.moving {
		r.Journal.Decision("attempt_failed", log.Fields{
			"request_id": t.item.ID,
			"batch":      b.sub.ID,
			"upstream":   u.ID,
			"after":      t.last,
			"losses":     t.setback.losses,
			"error":      err.Error(),
		})
	}
	switch {
	case errors.Is(err, engine.ErrImpossible):
		r.dead(b, t, "impossible", now)
	case errors.Is(err, engine.ErrAttemptFailed):
		t.failures++
		if t.failures >= max(1, b.route.Attempts) {
			r.dead(b, t, "attempts", now)
		}
	case errors.Is(err, errStale):
		t.restart()
	case errors.Is(err, engine.ErrBroken) && !t.moving && t.made == 0:
		t.setback.lost(now)
	}
	if t.phase != finished {
		t.phase = waiting
		t.cancel = nil
		b.queue = append([]*task{t}, b.queue...)
	}
	b.mu.Unlock()
	b.wake.Set()
}

// account notes what an attempt tells of its engine. The lock is held.
func (r *Runner) account(t *task, u *catalog.Upstream, err error, now timer.Instant) {
	var refused *engine.RefusedError
	pace, _ := t.pace(leastSpan)
	switch {
	case err == nil, errors.Is(err, engine.ErrAttemptFailed), errors.Is(err, engine.ErrImpossible):
		u.Measured(pace, now)
		u.Succeeded(0)
	case errors.Is(err, engine.ErrMisdirected):
		u.MarkLeaving()
		u.Ended()
	case errors.As(err, &refused), errors.Is(err, errStale):
		u.Rest(now)
		u.Ended()
	case t.moving && t.stuck && !u.Lives(now):
		// None of its streams has made an event lately: it is dark. Counted like
		// a failure, it would get and hold up five items more.
		u.Unreachable(now)
	case t.moving && t.stuck:
		u.Failed(now)
	case t.moving:
		u.Measured(pace, now)
		u.Ended()
	case errors.Is(err, context.Canceled):
		u.Ended()
	case errors.Is(err, engine.ErrNotSent):
		u.Unreachable(now)
	default:
		u.Failed(now)
	}
}

// dead ends an item that can't be done. The lock is held.
func (r *Runner) dead(b *Batch, t *task, why string, now timer.Instant) {
	r.Journal.Decision("dead", log.Fields{
		"request_id": t.item.ID,
		"batch":      b.sub.ID,
		"why":        why,
		"failures":   t.failures,
	})
	b.finish(t, submission.Result{
		Item:  t.item.ID,
		State: submission.Dead,
	}, now)
}

// score has a finished text scored and takes its result.
func (r *Runner) score(b *Batch, t *task) {
	score := ""
	if t.item.Reward != nil {
		var err error
		score, err = r.Scorer.Score(b.ctx, t.item.Reward)
		if err != nil {
			b.mu.Lock()
			defer b.mu.Unlock()
			if !b.over() {
				r.dead(b, t, "reward: "+err.Error(), r.Timer.Now())
			}
			return
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := r.Timer.Now()
	scored := t.spent.lap(now)
	t.spent.scored += scored
	if t.item.Reward != nil {
		r.scoring.Took(scored)
	}
	r.Metrics.item(now.Sub(b.begun))
	r.lengths.Finished(t.item.Estimate(), t.last)
	r.lengths.Capped(t.item.MostTokens, t.last)
	fields := log.Fields{
		"request_id": t.item.ID,
		"batch":      b.sub.ID,
		"group":      t.item.Group,
		"upstream":   t.upstream.ID,
		"attempts":   t.attempts,
		"moves":      t.moves,
		"events":     t.last,
		"versions":   t.versions,
		"estimate":   t.item.Estimate(),
		"age_ms":     now.Sub(b.begun).Milliseconds(),
	}
	t.spent.addTo(fields)
	r.Journal.Decision("item", fields)
	b.finish(t, t.result(score), now)
}

// Lose drops a batch that another process took over or ended.
func (r *Runner) Lose(id string, err error) {
	b := r.find(id)
	if b == nil {
		return
	}
	b.mu.Lock()
	b.lost = true
	b.tell()
	b.mu.Unlock()
	b.cancel()
	r.mu.Lock()
	delete(r.batches, b.sub.ID)
	r.mu.Unlock()
	r.Journal.Trouble("batch lost", err, log.Fields{
		"request_id": b.sub.ID,
	})
}

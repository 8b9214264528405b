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
		case <-b.wake:
		case <-b.ctx.Done():
			return
		case <-r.tomb.Dying():
			return
		}
	}
}

// candidate is an engine that may take an item.
type candidate struct {
	schedule.Engine
	u *catalog.Upstream
}

// engines returns the engines that can serve the batch now. The lock is held.
func (r *Runner) engines(b *Batch, now timer.Instant) []candidate {
	var list []candidate
	memory := r.memory(b.service)
	group := r.Book.Group(b.service)
	usual := group.Set.MedianPace()
	for _, u := range group.Upstreams {
		if !u.Usable(now) || u.Resting(now) {
			continue
		}
		if b.sub.Model != "" && u.ModelVersion(b.sub.Model) < b.sub.OldestVersion {
			continue
		}
		list = append(list, candidate{
			Engine: schedule.Engine{
				Room:  u.Room(now),
				Slots: max(1, u.Slots),
				Pace:  u.Against(usual, now),
				Near:  u.FailureDomain == r.FailureDomain,

				Memory:   memory,
				Reserved: u.Reserved(),
			},
			u: u,
		})
	}
	return list
}

// memory returns the memory of an engine of a service, in tokens; 0 if unknown.
func (r *Runner) memory(service string) int64 {
	if cfg := r.Holder.Current(); cfg != nil {
		if s := cfg.Services[service]; s.Engine != nil {
			return int64(s.Engine.Tokens)
		}
	}
	return 0
}

// plainOf returns what a choice needs to know of the engines.
func plainOf(list []candidate) []schedule.Engine {
	plain := make([]schedule.Engine, len(list))
	for i, c := range list {
		plain[i] = c.Engine
	}
	return plain
}

// usual returns the usual time between two events at the batch's engines.
func (r *Runner) usual(b *Batch) time.Duration {
	return time.Duration(r.Book.Group(b.service).Set.MedianPace() * float64(time.Second))
}

// pump begins as many items as there is room for. The lock is held.
func (r *Runner) pump(b *Batch) {
	if b.over() || len(b.queue) == 0 {
		return
	}
	now := r.Timer.Now()
	list := r.engines(b, now)
	plain := plainOf(list)
	for len(b.queue) > 0 {
		t := b.queue[0]
		at := pickBut(plain, list, t.left, r.needOf(b, t, now))
		if at < 0 {
			return
		}
		plain[at].Room--
		plain[at].Reserved += t.needs()
		b.queue = b.queue[1:]
		r.begin(b, t, list[at].u, now)
	}
}

// pickBut picks an engine other than the one that the item has just left, if
// there is any.
func pickBut(plain []schedule.Engine, list []candidate, left *catalog.Upstream, n schedule.Need) int {
	for i := range list {
		if left == nil || list[i].u != left {
			continue
		}
		room := plain[i].Room
		plain[i].Room = 0
		at := schedule.Pick(plain, n)
		plain[i].Room = room
		if at >= 0 {
			return at
		}
	}
	return schedule.Pick(plain, n)
}

// needOf describes a task that is to begin. The lock is held.
func (r *Runner) needOf(b *Batch, t *task, now timer.Instant) schedule.Need {
	left := max(0, r.lengths.Events(t.tokens)-float64(t.last))
	return schedule.Need{
		Lasts:  time.Duration(left * float64(r.usual(b))),
		Waited: now.Sub(b.begun),
		Memory: t.needs(),
	}
}

// begin starts one attempt. The lock is held.
func (r *Runner) begin(b *Batch, t *task, u *catalog.Upstream, now timer.Instant) {
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
	t.reserved = t.needs()
	u.Reserve(t.reserved)
	u.Begin()
	g := Generation{
		Batch:  b.sub,
		Item:   t.item,
		Route:  b.route,
		After:  t.last,
		Oldest: b.sub.OldestVersion,
		Left:   b.left(now),
		Urgent: !r.needOf(b, t, now).Short() || b.again[t.item.Group],
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
	if !t.add(e, r.Timer.Now()) {
		return errDisorder
	}
	return nil
}

// attempted handles the end of one attempt.
func (r *Runner) attempted(b *Batch, t *task, u *catalog.Upstream, err error) {
	now := r.Timer.Now()
	b.mu.Lock()
	u.Reserve(-t.reserved)
	r.account(t, u, err, now)
	r.Metrics.attempt(err)
	if t.phase == finished || b.over() {
		b.mu.Unlock()
		return
	}
	if err == nil {
		t.phase = scoring
		b.mu.Unlock()
		signal(b.wake)
		r.score(b, t)
		return
	}
	if !t.moving {
		r.Journal.Decision("attempt_failed", log.Fields{
			"request_id": t.item.ID,
			"batch":      b.sub.ID,
			"upstream":   u.ID,
			"after":      t.last,
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
	}
	if t.phase != finished {
		t.phase = waiting
		t.cancel = nil
		b.queue = append([]*task{t}, b.queue...)
	}
	b.mu.Unlock()
	signal(b.wake)
}

// account notes what an attempt tells of its engine. The lock is held.
func (r *Runner) account(t *task, u *catalog.Upstream, err error, now timer.Instant) {
	var refused *engine.RefusedError
	pace, _ := t.pace()
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
	r.Metrics.item(now.Sub(b.begun))
	r.lengths.Finished(t.item.Estimate(), t.last)
	r.Journal.Decision("item", log.Fields{
		"request_id": t.item.ID,
		"batch":      b.sub.ID,
		"group":      t.item.Group,
		"upstream":   t.upstream.ID,
		"attempts":   t.attempts,
		"moves":      t.moves,
		"events":     t.last,
		"versions":   t.versions,
		"age_ms":     now.Sub(b.begun).Milliseconds(),
	})
	b.finish(t, t.result(score), now)
}

// writeOut writes finished results and lists them.
func (r *Runner) writeOut(b *Batch) {
	for {
		select {
		case <-b.write:
		case <-b.ctx.Done():
			return
		case <-r.tomb.Dying():
			return
		}
		if !r.writeDue(b) {
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

// progressEvents is how many events make the progress of an item worth storing:
// a shorter text is soon made again.
const progressEvents = 12

// writeDue writes the finished results if that is due. It reports false when
// there is nothing more to write here.
func (r *Runner) writeDue(b *Batch) bool {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	due := b.due(r.Timer.Now())
	if b.over() || !schedule.Write(due) {
		going := !b.over()
		b.mu.Unlock()
		return going
	}
	results := b.pending
	b.pending, b.whole = nil, false
	var progress []submission.Progress
	if !due.Ends() {
		// The trainer waits for results that end its step; half a megabyte
		// beside them would hold them up by some ten milliseconds.
		progress = b.progress(progressEvents)
	}
	b.mu.Unlock()
	for len(results) > 0 {
		n := ledger.Fitting(results)
		if !r.append(b, results[:n], progress) {
			return false
		}
		results, progress = results[n:], nil
	}
	return true
}

// append writes one chunk, again and again while the service is away, and
// lists it. It reports false when nothing more is to be written here. The end of
// a batch does not cut a write short: a chunk that was stored without this
// process knowing would show in the ledger and not here, so that a result that
// was read once would be missing in the next answer.
func (r *Runner) append(b *Batch, results []submission.Result, progress []submission.Progress) bool {
	b.mu.Lock()
	claim := b.claim
	b.sending, b.sent = true, r.Timer.Now()
	b.mu.Unlock()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		next, err := r.Ledger.Append(ctx, claim, results, progress)
		cancel()
		if err == nil {
			b.mu.Lock()
			b.claim = next
			b.sending = false
			b.list(results, r.Timer.Now())
			b.mu.Unlock()
			return true
		}
		b.mu.Lock()
		over := b.over()
		b.mu.Unlock()
		if over || errors.Is(err, ledger.ErrFenced) {
			r.Lose(b.sub.ID, err)
			return false
		}
		r.Journal.Trouble("results not written", err, log.Fields{
			"request_id": b.sub.ID,
			"results":    len(results),
		})
		if !timer.Wait(r.Timer, writePause, r.tomb.Dying()) {
			return false
		}
	}
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

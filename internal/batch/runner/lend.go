package runner

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// lending is the state of lending between the steps of all instances, as known here.
type lending struct {
	mu     sync.Mutex
	lender schedule.Lender
	// waitingAt holds, by model, when a step of this instance last had waiting items.
	waitingAt map[string]timer.Instant
	// running is the number of items at each engine that lends slots.
	running map[string]int
}

// lendingMemory is how long the state of an engine is kept without being used.
const lendingMemory = time.Minute

// maxWaitForCrowded is how long a step leaves the engines of other crowded models alone if no
// report shows their free slots. While engines are less than half full, each item must be
// sent to some engine within 5 s, and the reports come with the answers to the first items.
const maxWaitForCrowded = 3500 * time.Millisecond

// recordWaiting records that a step of a model has waiting items.
func (l *lending) recordWaiting(model string, now timer.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waitingAt == nil {
		l.waitingAt = make(map[string]timer.Instant)
	}
	l.waitingAt[model] = now
}

// forget removes the state that is no longer used.
func (l *lending) forget(now timer.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lender.Forget(now.Add(-lendingMemory))
}

// observe records the state of the engines of other models.
func (l *lending) observe(candidates []candidate, now timer.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range candidates {
		if c.OtherModel {
			at, known := l.waitingAt[c.model]
			l.lender.Observe(c.u.ID, c.Engine, known && now.Sub(at) < 2*checkInterval, now)
		}
	}
}

// allowed returns the candidates of other models that may take an item with the given
// expected run time.
func (l *lending) allowed(candidates []candidate, crowded map[string]bool, expected time.Duration, now timer.Instant) []candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var allowed []candidate
	for _, c := range candidates {
		if c.OtherModel && l.lender.Allows(c.u.ID, c.Engine, expected, crowded[c.model], now) {
			allowed = append(allowed, c)
		}
	}
	return allowed
}

// sent records an item that is sent to any engine.
func (l *lending) sent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lender.Sent()
}

// begin records an item that is sent to an engine of another model. It returns the function
// to call with the outcome, of which only the first call counts.
func (l *lending) begin(id string, now timer.Instant) func(refused bool, now timer.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lender.Lent(id, now)
	if l.running == nil {
		l.running = make(map[string]int)
	}
	l.running[id]++
	var once sync.Once
	return func(refused bool, now timer.Instant) {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.lender.Settle(id, refused, now)
		})
	}
}

// end records that an item no longer runs at an engine of another model.
func (l *lending) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[id]--
	if l.running[id] <= 0 {
		delete(l.running, id)
	}
}

// engines returns the number of engines that lend slots.
func (l *lending) engines() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running)
}

// borrowed is what a step has borrowed.
type borrowed struct {
	// active says that the step borrows, which was logged.
	active bool
	// running is the number of its items at engines of other models, total that of all
	// that were sent there, and refused that of the refused ones, since it began to
	// borrow.
	running, total, refused int
	// usedAt is when an item last began or ended there.
	usedAt timer.Instant
}

// borrowedLinger is how long after its last borrowed item a step counts as borrowing. An
// engine without a recent report gets one item a second.
const borrowedLinger = 2 * time.Second

// beginLoan records that an attempt begins at an engine of another model. The caller holds
// b.mu.
func (r *Runner) beginLoan(b *Batch, t *task, c candidate, now timer.Instant) {
	t.loan = r.lending.begin(c.u.ID, now)
	r.Metrics.setLent(r.lending.engines())
	if !b.borrowed.active {
		b.borrowed = borrowed{
			active: true,
		}
		r.logBorrowing(b, "began", log.Fields{
			"upstream": c.u.ID,
			"owner":    c.model,
		}, now)
	}
	b.borrowed.running++
	b.borrowed.total++
	b.borrowed.usedAt = now
}

// endLoan records the end of an attempt, if it was at an engine of another model. The
// caller holds b.mu.
func (r *Runner) endLoan(b *Batch, t *task, err error, now timer.Instant) {
	if t.loan == nil {
		return
	}
	var refusal *engine.RefusedError
	refused := errors.As(err, &refusal)
	t.loan(refused, now)
	t.loan = nil
	r.lending.end(t.upstream.ID)
	r.Metrics.setLent(r.lending.engines())
	b.borrowed.running--
	b.borrowed.usedAt = now
	if refused {
		b.borrowed.refused++
	}
}

// checkBorrowing logs that a step stopped to borrow. The caller holds b.mu.
func (r *Runner) checkBorrowing(b *Batch, now timer.Instant) {
	if !b.borrowed.active || !b.over() && b.open > 0 && (b.borrowed.running > 0 || now.Sub(b.borrowed.usedAt) < borrowedLinger) {
		return
	}
	b.borrowed.active = false
	r.logBorrowing(b, "stopped", log.Fields{
		"sent":    b.borrowed.total,
		"refused": b.borrowed.refused,
	}, now)
}

// logBorrowing logs that a step began or stopped to borrow. The caller holds b.mu.
func (r *Runner) logBorrowing(b *Batch, state string, fields log.Fields, now timer.Instant) {
	fields["request_id"] = b.sub.ID
	fields["model"] = b.sub.Model
	fields["state"] = state
	fields["open"] = b.open
	fields["age_ms"] = b.age(now).Milliseconds()
	r.Journal.Decision("borrow", fields)
}

// crowdedModels returns the models whose latest step crowds its share.
func (r *Runner) crowdedModels(b *Batch) map[string]bool {
	if r.EngineAssignment == nil {
		return nil
	}
	return r.EngineAssignment.CrowdedModels(b.service)
}

// borrow starts queued items of a step that crowds its own engines at engines of other
// models, short items first. The caller holds b.mu.
func (r *Runner) borrow(b *Batch, usable []candidate, medianPace time.Duration, now timer.Instant) {
	crowded := r.crowdedModels(b)
	for _, short := range []bool{true, false} {
		for i := 0; i < len(b.queue); {
			t := b.queue[i]
			need := r.needOf(b, t, medianPace, now)
			if !t.backoff.ready(now) || t.backoff.tooLarge || short != need.ShortLoan() {
				i++
				continue
			}
			if need.Waited >= maxWaitForCrowded {
				crowded = nil
			}
			allowed := r.lending.allowed(usable, crowded, need.ExpectedDuration, now)
			if len(allowed) == 0 {
				break
			}
			picked := pickAvoiding(enginesOf(allowed), allowed, t.movedFrom, need)
			if picked < 0 {
				i++
				continue
			}
			u := allowed[picked].u
			j := slices.IndexFunc(usable, func(c candidate) bool { return c.u == u })
			permit, ok := r.SlowStart.Take(u, t.item.ID, now)
			if !ok {
				usable[j].FreeSlots = 0
				continue
			}
			usable[j].FreeSlots--
			usable[j].Reserved += need.Memory
			b.queue = slices.Delete(b.queue, i, i+1)
			b.promptSent(t, u, now)
			r.beginLoan(b, t, allowed[picked], now)
			r.startAttempt(b, t, u, permit, need, now)
		}
	}
}

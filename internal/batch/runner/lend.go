package runner

import (
	"slices"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// lending is the state of lending between the steps of all instances, as known here.
type lending struct {
	mu     sync.Mutex
	lender schedule.Lender
	// waitingAt holds, by model, when a step of this instance last had waiting items.
	waitingAt map[string]timer.Instant
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
	var once sync.Once
	return func(refused bool, now timer.Instant) {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.lender.Settle(id, refused, now)
		})
	}
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
			if !t.backoff.ready(now) || short != need.ShortLoan() {
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
			usable[j].FreeSlots--
			usable[j].Reserved += need.Memory
			b.queue = slices.Delete(b.queue, i, i+1)
			t.loan = r.lending.begin(u.ID, now)
			r.startAttempt(b, t, u, need, now)
		}
	}
}

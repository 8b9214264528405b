package runner

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// placer places the queued items of a batch on engines during one call of dispatch. The
// batch's lock is held while it is in use.
type placer struct {
	r          *Runner
	b          *Batch
	now        timer.Instant
	candidates []candidate
	engines    []schedule.Engine
	medianPace time.Duration
	// longest is the longest expected run time of the unfinished items, load the result of
	// schedule.StepLoad.
	longest time.Duration
	load    float64
	// waiting holds the items that wait for memory.
	waiting map[*task]bool
}

// newPlacer returns a placer on the given engines. The caller holds b.mu.
func (r *Runner) newPlacer(b *Batch, candidates []candidate, medianPace time.Duration, now timer.Instant) *placer {
	p := &placer{
		r:          r,
		b:          b,
		now:        now,
		candidates: candidates,
		medianPace: medianPace,
	}
	p.engines = enginesOf(p.candidates)
	p.load = schedule.StepLoad(b.open, p.engines)
	tokens := 0
	atEngine := make(map[*catalog.Upstream]int, len(p.candidates))
	streams := make(map[*catalog.Upstream][]schedule.StreamMemory, len(p.candidates))
	for _, t := range b.tasks {
		if t.phase == running {
			atEngine[t.upstream]++
			streams[t.upstream] = append(streams[t.upstream], r.streamMemory(t))
		}
		if t.phase == running || t.phase == waiting {
			tokens = max(tokens, t.tokens)
		}
	}
	for i := range p.engines {
		p.engines[i].StepItems = atEngine[p.candidates[i].u]
		p.engines[i].Streams = streams[p.candidates[i].u]
	}
	p.longest = time.Duration(r.lengths.Events(tokens) * float64(p.medianPace))
	return p
}

// pick picks the engine for a task, or -1 if the task should wait, and returns what the task
// needs of it.
func (p *placer) pick(t *task) (int, schedule.Need) {
	need := p.r.needOf(p.b, t, p.medianPace, p.now)
	need.PromptReading = p.r.reading.Expected(int64(t.item.PromptTokens))
	need.LongestDuration, need.StepLoad = p.longest, p.load
	if t.memoryWaitSince != 0 {
		need.WaitedForMemory = p.now.Sub(t.memoryWaitSince)
	}
	warm := p.b.warmPrompts(t, p.now)
	for i := range p.engines {
		p.engines[i].IdleConnection = p.candidates[i].u.HasIdleConnection(p.now)
		p.engines[i].Warm = slices.ContainsFunc(warm, func(w warmPrompt) bool { return w.u == p.candidates[i].u })
	}
	return pickAvoiding(p.engines, p.candidates, t.movedFrom, need), need
}

// next picks the item of the queue that starts next, and its engine. at is its index in the
// queue; picked is -1 if no item can start. first is the index of the first item that is ready.
func (p *placer) next(first int) (at, picked int, need schedule.Need) {
	t := p.b.queue[first]
	picked, need = p.pick(t)
	if picked < 0 || !t.sharesPrompt() || p.engines[picked].Warm || t.backoff.tooLarge {
		return first, picked, need
	}
	indexes, ahead := p.ahead(first, p.candidates[picked].u)
	taken := schedule.TakeWarm(ahead, p.b.overloaded)
	if taken == 0 {
		return first, picked, need
	}
	other := p.b.queue[indexes[taken]]
	otherPicked, otherNeed := p.pick(other)
	if otherPicked < 0 || !p.engines[otherPicked].Warm && !ahead[taken].Fresh {
		return first, picked, need
	}
	for _, i := range indexes[:taken] {
		p.b.queue[i].passedOver++
	}
	return indexes[taken], otherPicked, otherNeed
}

// waitForMemory has an item that no engine was picked for wait for memory, so that others can
// start. It reports false if the item does not wait for memory.
func (p *placer) waitForMemory(t *task, need schedule.Need) bool {
	target := schedule.MemoryTarget(p.engines, need)
	if target < 0 {
		if len(p.waiting) > 0 {
			// The engines that are left are kept for the items that wait already.
			p.restWaits()
		}
		return false
	}
	if len(p.waiting) >= schedule.MaxWaiting {
		p.restWaits()
		return false
	}
	if p.waiting == nil {
		p.waiting = make(map[*task]bool)
		p.engines[target].Held = true
	}
	p.waiting[t] = true
	if t.memoryWaitSince == 0 {
		t.memoryWaitSince = p.now
		p.r.Journal.Decision("hold_back", log.Fields{
			"request_id": t.item.ID,
			"batch":      p.b.sub.ID,
			"why":        "memory",
			"upstream":   p.candidates[target].u.ID,
			"tokens":     need.Memory,
			"memory":     p.engines[target].Memory,
			"reserved":   p.engines[target].Reserved,
			"spread":     need.MemorySpread,
		})
	}
	return true
}

// restWaits records that all queued items wait for memory, as too many do for each to be looked
// at: the time for which they may wait begins now.
func (p *placer) restWaits() {
	for _, t := range p.b.queue {
		if t.memoryWaitSince == 0 && t.backoff.ready(p.now) && !t.backoff.tooLarge {
			t.memoryWaitSince = p.now
		}
	}
}

// ahead describes the items of the queue that are ready, from the first on, for an engine, and
// returns their indexes in the queue.
func (p *placer) ahead(first int, u *catalog.Upstream) ([]int, []schedule.Queued) {
	var indexes []int
	var ahead []schedule.Queued
	for i := first; i < len(p.b.queue) && len(ahead) < schedule.MaxLookAhead; i++ {
		t := p.b.queue[i]
		if p.waiting[t] || t.backoff.tooLarge || !t.backoff.ready(p.now) {
			continue
		}
		warm := p.b.warmPrompts(t, p.now)
		indexes = append(indexes, i)
		ahead = append(ahead, schedule.Queued{
			Tokens: t.tokens,
			Passed: t.passedOver,
			Warm:   slices.ContainsFunc(warm, func(w warmPrompt) bool { return w.u == u }),
			Fresh:  t.sharesPrompt() && len(warm) == 0,
		})
	}
	return indexes, ahead
}

// take records that an item goes to an engine.
func (p *placer) take(t *task, picked int, need schedule.Need) {
	p.engines[picked].FreeSlots--
	p.engines[picked].Reserved += need.Memory
	p.engines[picked].StepItems++
	p.engines[picked].Streams = append(p.engines[picked].Streams, schedule.StreamMemory{
		Size: float64(need.Memory) - need.MemoryLeft,
		Left: need.MemoryLeft,
	})
	u := p.candidates[picked].u
	switch {
	case !t.sharesPrompt():
	case p.b.isWarm(t, u, p.now):
		t.warmAttempts++
		p.r.Metrics.itemPlaced("warm")
	case len(p.b.warmPrompts(t, p.now)) == 0:
		p.r.Metrics.itemPlaced("first")
	default:
		p.r.Metrics.itemPlaced("again")
	}
	p.b.promptSent(t, u, p.now)
}

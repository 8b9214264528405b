package runner

import (
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// candidate is an engine that may run an item.
type candidate struct {
	schedule.Engine
	u *catalog.Upstream
	// model is the model that the engine is assigned to, if any.
	model string
}

// EngineAssignment tells which engines are assigned to which model while several
// models are in use.
type EngineAssignment interface {
	// ModelsByEngine returns the model that each engine of a service is assigned to, by
	// the engine's ID, or nil if every engine serves all models. sure says that by now
	// this instance knows the current steps of all models.
	ModelsByEngine(service string, sure bool) map[string]string
	// CrowdedModels returns the models of a service whose latest step crowds its share of
	// the engines.
	CrowdedModels(service string) map[string]bool
}

// stepPropagationTime is the longest time until all instances know of a new step.
const stepPropagationTime = 300 * time.Millisecond

// engineModels returns the model that each engine of the batch's service is
// assigned to, by the engine's ID, or nil if every engine serves all models.
func (r *Runner) engineModels(b *Batch, now timer.Instant) map[string]string {
	if r.EngineAssignment == nil || b.sub.Model == "" {
		return nil
	}
	return r.EngineAssignment.ModelsByEngine(b.service, now.Sub(b.startedAt) >= stepPropagationTime)
}

// isOtherModel reports whether model, which an engine is assigned to, is another one
// than the batch's. It is false for an engine without an assigned model.
func (b *Batch) isOtherModel(model string) bool { return model != "" && model != b.sub.Model }

// freeSlots returns how many more requests an engine takes. One that refused a
// request a moment ago takes none, and a cold one takes one for each permit.
func freeSlots(u *catalog.Upstream, now timer.Instant) float64 {
	if u.BackingOff(now) {
		return 0
	}
	return coldFreeSlots(u, now)
}

// coldFreeSlots returns the free slots of an engine that is not backing off.
func coldFreeSlots(u *catalog.Upstream, now timer.Instant) float64 {
	if u.Cold(now) {
		return min(float64(u.PermitSlots(now)), u.FreeSlots(now))
	}
	return u.FreeSlots(now)
}

// neverReported is the age of the load report of an engine that has sent none.
const neverReported = time.Hour

// reportAge returns how long ago an engine reported its load.
func reportAge(u *catalog.Upstream, now timer.Instant) time.Duration {
	if _, age, ok := u.Report(now); ok {
		return age
	}
	return neverReported
}

// availableCandidates returns the engines that can serve the batch now, in a large
// service those of nearCandidates. If the batch has too many items for the engines
// of its own model, engines of other models are left out unless they are known to
// have free slots and may lend one for any item. The caller holds b.mu.
func (r *Runner) availableCandidates(b *Batch, now timer.Instant) []candidate {
	candidates, whole := r.nearCandidates(b, now)
	if !whole || !b.crowds(candidates) {
		return candidates
	}
	r.lending.observe(candidates, now)
	available := ownCandidates(candidates)
	for _, c := range r.lending.allowed(candidates, r.crowdedModels(b), 0, now) {
		if c.OpenToCrowdedStep() {
			available = append(available, c)
		}
	}
	return available
}

// crowds reports whether the batch has too many items for the engines of its own model.
// The caller holds b.mu.
func (b *Batch) crowds(candidates []candidate) bool {
	own := 0
	for _, c := range candidates {
		if !c.OtherModel {
			own += c.Slots
		}
	}
	return schedule.CrowdsOwnEngines(b.open, own)
}

// ownCandidates returns the candidates that are not assigned to another model.
func ownCandidates(candidates []candidate) []candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.OtherModel })
}

// usableCandidates returns the usable engines whose weights are new enough for
// the batch. The caller holds b.mu.
func (r *Runner) usableCandidates(b *Batch, now timer.Instant) []candidate {
	group := r.engineGroup(b)
	c := r.newCandidates(b, group, now)
	for _, u := range group.Upstreams {
		c.add(u)
	}
	return c.list
}

// canUse reports whether an engine is usable and its weights are new enough for the batch.
func (b *Batch) canUse(u *catalog.Upstream, now timer.Instant) bool {
	if !u.InService(now) || u.Evacuated() || b.sub.Model != "" && u.ModelVersion(b.sub.Model) < b.sub.OldestVersion {
		return false
	}
	if u.Held(now) {
		// A share lets this instance send to the engine while it is cold.
		u.WantShare(now)
		return false
	}
	return true
}

// candidates collects the candidates of a batch.
type candidates struct {
	r          *Runner
	b          *Batch
	now        timer.Instant
	memory     int64
	models     map[string]string
	medianPace float64
	// newest is the newest weight version of the model at any engine.
	newest uint64
	list   []candidate
}

// newCandidates returns an empty list of candidates of a group. The caller holds b.mu.
func (r *Runner) newCandidates(b *Batch, group *catalog.Group, now timer.Instant) *candidates {
	return &candidates{
		r:          r,
		b:          b,
		now:        now,
		memory:     r.engineMemory(b.service),
		models:     r.engineModels(b, now),
		medianPace: group.Set.MedianPace(),
		newest:     newestVersion(group, b.sub.Model),
	}
}

// add adds an engine, and reports false if the batch can't use it.
func (c *candidates) add(u *catalog.Upstream) bool {
	if u.ReturnedWithin(maxReloadTime, c.now) && u.ModelVersion(c.b.sub.Model) < c.newest || !c.b.canUse(u, c.now) {
		return false
	}
	model := c.models[u.ID]
	c.list = append(c.list, candidate{
		Engine: schedule.Engine{
			FreeSlots:         freeSlots(u, c.now),
			Slots:             max(1, u.Slots),
			Pace:              u.RelativePace(c.medianPace, c.now),
			SameFailureDomain: u.FailureDomain == c.r.FailureDomain,
			OtherRegion:       !c.r.Near.Allows(u.Listed().Region),
			Memory:            c.memory,
			Reserved:          u.Reserved(),
			OtherModel:        c.b.isOtherModel(model),
			ReportAge:         reportAge(u, c.now),
			IdleConnection:    u.HasIdleConnection(c.now),
			Slowdown:          schedule.Slowdown(u.Slowdown(c.now)),
		},
		u:     u,
		model: model,
	})
	return true
}

// maxReloadTime is how long an engine whose evacuation ended gets no items with weights that are
// older than those of other engines. A load takes about a second, and a fifth of the engines
// load at a time.
const maxReloadTime = 10 * time.Second

// newestVersion returns the newest weight version of a model at the engines of a group.
func newestVersion(group *catalog.Group, model string) uint64 {
	newest := uint64(0)
	if model != "" {
		for _, u := range group.Upstreams {
			newest = max(newest, u.ModelVersion(model))
		}
	}
	return newest
}

// engineMemory returns the memory of one engine of a service in tokens; 0 if
// unknown.
func (r *Runner) engineMemory(service string) int64 {
	if cfg := r.Configuration.Current(); cfg != nil {
		if s := cfg.Services[service]; s.Engine != nil {
			return int64(s.Engine.Tokens)
		}
	}
	return 0
}

// enginesOf returns the part of the candidates by which schedule picks one.
func enginesOf(candidates []candidate) []schedule.Engine {
	engines := make([]schedule.Engine, len(candidates))
	for i, c := range candidates {
		engines[i] = c.Engine
	}
	return engines
}

// medianPace returns the median time between two events at the batch's engines.
func (r *Runner) medianPace(b *Batch) time.Duration {
	return time.Duration(r.engineGroup(b).Set.MedianPace() * float64(time.Second))
}

// paceNoise returns by how much the measured paces of equal engines of the batch differ.
func (r *Runner) paceNoise(b *Batch) float64 { return r.engineGroup(b).Set.PaceNoise() }

// pickAvoiding picks an engine for an item. It picks avoid, the engine that the
// item has just left, only if no other one can take the item.
func pickAvoiding(engines []schedule.Engine, candidates []candidate, avoid *catalog.Upstream, need schedule.Need) int {
	for i := range candidates {
		if avoid == nil || candidates[i].u != avoid {
			continue
		}
		saved := engines[i].FreeSlots
		engines[i].FreeSlots = 0
		picked := schedule.Pick(engines, need)
		engines[i].FreeSlots = saved
		if picked >= 0 {
			return picked
		}
	}
	return schedule.Pick(engines, need)
}

// needOf describes what a task that is to start needs of an engine. The caller
// holds b.mu.
func (r *Runner) needOf(b *Batch, t *task, medianPace time.Duration, now timer.Instant) schedule.Need {
	left := max(0, r.lengths.Events(t.tokens)-float64(t.lastEvent))
	need := schedule.Need{
		ExpectedDuration: time.Duration(left * float64(medianPace)),
		Waited:           now.Sub(b.startedAt),
		Overloaded:       b.overloaded,
		Memory:           t.memoryNeed(),
		MemoryLeft:       r.streamMemory(t).Left,
	}
	if t.moves == 0 && !t.backoff.tooLarge {
		// A stream that left a failing engine must go on at once, and an item that no
		// engine can hold is offered at fixed intervals.
		need.MemorySpread = r.lengths.Spread()
	}
	return need
}

// streamMemory returns the memory of an item in tokens. The caller holds the batch's lock.
func (r *Runner) streamMemory(t *task) schedule.StreamMemory {
	size := float64(t.item.PromptTokens + r.lengths.Tokens(t.lastEvent))
	return schedule.StreamMemory{
		Size: size,
		Left: max(0, float64(t.memoryNeed())-size),
	}
}

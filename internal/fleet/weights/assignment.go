package weights

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

const (
	// activeWindow is how long a model counts as active after a step of it was
	// requested. A running trainer requests the next step within that time.
	activeWindow = 10 * time.Second
	// assignmentTTL is how long a cached assignment is used.
	assignmentTTL = 100 * time.Millisecond
)

// cachedAssignment is the assignment of the engines of one service to models.
type cachedAssignment struct {
	computedAt timer.Instant
	// complete is the argument of ModelsByEngine.
	complete bool
	// modelOf holds the model of each engine, by engine ID.
	modelOf map[string]string
}

// StepRequested records that a step of a model was requested, with its number of items and
// its work in tokens. All instances are told of each step.
func (o *Orderer) StepRequested(model string, items int, tokens int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.demand = o.demand.withStep(model, float64(tokens))
	now := o.Timer.Now()
	if o.stepRequestedAt == nil {
		o.stepRequestedAt = make(map[string]timer.Instant)
	}
	o.stepRequestedAt[model] = now
	step := Step{
		Items:       items,
		Tokens:      float64(tokens),
		RequestedAt: now,
	}
	cfg := o.Config.Current()
	if cfg == nil {
		return
	}
	for name, service := range cfg.Services {
		if service.Engine != nil && slices.Contains(service.Engine.Models, model) {
			d := o.division(name, service.Engine.Models)
			d.record(model, step, o.demand.shares(d.models), o.capacity(name))
			o.reportDivision(name, d, now)
		}
	}
}

// division returns the division of a service, which it creates if the service is new or
// has other models than before. The caller holds o.mu.
func (o *Orderer) division(service string, models []string) *division {
	if o.divisions == nil {
		o.divisions = make(map[string]*division)
	}
	d := o.divisions[service]
	if d == nil || !slices.Equal(d.models, models) {
		if d != nil {
			o.Metrics.forget(d.models)
		}
		d = &division{
			models: slices.Clone(models),
		}
		o.divisions[service] = d
	}
	return d
}

// reportDivision logs a change of a division and sets the metrics. The caller holds o.mu.
func (o *Orderer) reportDivision(service string, d *division, now timer.Instant) {
	o.Metrics.setShares(d.present())
	if d.changes == d.reported {
		return
	}
	d.reported = d.changes
	reason := "need"
	if d.shares == nil {
		reason = "work"
	}
	o.Journal.Decision("divide", log.Fields{
		"service": service,
		"reason":  reason,
		"engines": d.capacity.Engines,
		"slots":   d.capacity.Slots,
		"models":  d.describe(now),
		"changes": d.changes,
	})
}

// capacity returns the number of listed engines of a service and their slots.
func (o *Orderer) capacity(service string) Capacity {
	var c Capacity
	for _, u := range o.Upstreams.Group(service).Upstreams {
		if !u.Leaving() {
			c.Engines++
			c.Slots += max(1, u.Slots)
		}
	}
	return c
}

// ModelsByEngine returns the model to which each engine of a service is assigned, by
// engine ID, while several models are active. While at most one model is active it
// returns nil, and all engines serve all models. The assignment depends only on the list
// of engines and the requested steps, so all instances compute nearly the same one without
// communication. complete says that all requested steps are known by now; if it is
// false, all configured models count as active, because steps of several trainers may
// begin at the same moment.
func (o *Orderer) ModelsByEngine(service string, complete bool) map[string]string {
	cfg := o.Config.Current()
	if cfg == nil || cfg.Services[service].Engine == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Timer.Now()
	if cached, ok := o.assignments[service]; ok && cached.complete == complete && now.Sub(cached.computedAt) < assignmentTTL {
		return cached.modelOf
	}
	models := cfg.Services[service].Engine.Models
	if complete {
		models = o.activeModels(models, now)
	}
	cached := cachedAssignment{
		computedAt: now,
		complete:   complete,
	}
	if len(models) > 1 {
		cached.modelOf = o.assign(service, models, now)
	}
	if o.assignments == nil {
		o.assignments = make(map[string]cachedAssignment)
	}
	o.assignments[service] = cached
	return cached.modelOf
}

// CrowdedModels returns the models of a service whose latest step crowds its share of the
// engines. While at most one model is active no share is crowded.
func (o *Orderer) CrowdedModels(service string) map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.divisions[service].crowded(o.Timer.Now())
}

// missesStep reports whether this instance has heard of no step of a model for stepMemory,
// although a version of it was published since: its notices don't come through, and its
// engines must not be given away. The caller holds o.mu.
func (o *Orderer) missesStep(d *division, now timer.Instant) bool {
	for m, s := range d.steps {
		if at, ok := o.latestAt[m]; ok && !s.known(now) && now.Sub(at) < stepMemory {
			return true
		}
	}
	return false
}

// activeModels returns the models with a step requested within activeWindow. The caller
// holds o.mu.
func (o *Orderer) activeModels(models []string, now timer.Instant) []string {
	var active []string
	for _, m := range models {
		if at, ok := o.stepRequestedAt[m]; ok && now.Sub(at) < activeWindow {
			active = append(active, m)
		}
	}
	return active
}

// assign assigns the listed engines to models. The caller holds o.mu.
func (o *Orderer) assign(service string, models []string, now timer.Instant) map[string]string {
	var engines []Engine
	// Only the instance that gives orders tracks the published versions. Others use
	// the newest versions that engines have instead.
	latest := maps.Clone(o.latest)
	if latest == nil {
		latest = make(map[string]uint64)
	}
	for _, u := range o.Upstreams.Group(service).Upstreams {
		if u.Leaving() {
			continue
		}
		versions := u.Listed().Versions
		for _, m := range models {
			latest[m] = max(latest[m], versions[m])
		}
		engines = append(engines, Engine{
			ID:       u.ID,
			Region:   u.Listed().Region,
			Versions: versions,
		})
	}
	return o.divide(service, engines, models, latest, now)
}

// divide assigns engines to models: by need while the step of some model crowds its share,
// and otherwise by Assign. The caller holds o.mu.
func (o *Orderer) divide(service string, engines []Engine, models []string, latest map[string]uint64, now timer.Instant) map[string]string {
	d := o.divisions[service]
	shares := d.sharesOf(models, now)
	if d != nil {
		o.reportDivision(service, d, now)
	}
	byNeed := shares != nil && !o.missesStep(d, now)
	if !byNeed {
		shares = o.demand.shares(models)
	}
	assign := func(engines []Engine, models []string, shares map[string]float64) map[string]string {
		if byNeed {
			return AssignByNeed(engines, models, latest, shares, d.stepping(now))
		}
		return assignByShares(engines, models, latest, shares)
	}
	regions := o.modelRegions(service, models)
	if regions == nil {
		return assign(engines, models, shares)
	}
	return assignInRegions(engines, models, shares, regions, assign)
}

package weights

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Limits of the division by need, which answers steps with several times the usual number
// of items (docs/design/division.md).
const (
	// crowdedItemsPerSlot is the number of items per slot of a model's share above which
	// its step crowds the share. It equals the limit of schedule.CrowdsOwnEngines.
	crowdedItemsPerSlot = 2
	// stepMemory is how long the latest step of a model counts. Steps take 6 to 9
	// seconds, so one lost notice of a step is tolerated only for short steps.
	stepMemory = 12 * time.Second
	// divisionInterval is the shortest time between two changes of a division. Each
	// change makes engines load weights, which takes about a second.
	divisionInterval = 2 * time.Second
	// minChange is the smallest change of a share that is made, as a fraction of the
	// share. A change is also at least one engine.
	minChange = 0.1
)

// Step is the latest known step of a model.
type Step struct {
	Items  int
	Tokens float64
	// RequestedAt is when this instance learned of the step.
	RequestedAt timer.Instant
}

// known reports whether the step still counts.
func (s Step) known(now timer.Instant) bool {
	return s.Items > 0 && s.Tokens > 0 && now.Sub(s.RequestedAt) < stepMemory
}

// crowds reports whether the step crowds a number of slots. The lower bound of a share is
// exactly at the limit, so rounding errors must not count.
func (s Step) crowds(slots float64) bool {
	return float64(s.Items) > crowdedItemsPerSlot*slots*(1+roundingTolerance)
}

// Capacity is the number of engines of a service and the sum of their slots.
type Capacity struct {
	Engines, Slots int
}

// NeedShares returns the fraction of the engines for each model while the step of some
// model crowds its base share. It returns nil if no step does, or if steps has no entry for
// one of the models: an instance that has just started must not take engines from a model
// it has not heard of. A model with an entry of no items is idle.
//
// The shares are max-min fair by work per slot, so that all steps end at the same time,
// within bounds for each model. A step that does not crowd its share keeps a slot for each
// crowdedItemsPerSlot items, up to its base share: with fewer slots it would itself be
// crowded. No step gets more slots than it has items, and each model gets one engine.
func NeedShares(models []string, base map[string]float64, steps map[string]Step, c Capacity) map[string]float64 {
	if c.Engines < len(models) || c.Slots <= 0 || len(models) < 2 {
		return nil
	}
	anyCrowded := false
	work := 0.0
	lower := make(map[string]float64, len(models))
	upper := make(map[string]float64, len(models))
	oneEngine := 1 / float64(c.Engines)
	for _, m := range models {
		s, ok := steps[m]
		if !ok {
			return nil
		}
		work += s.Tokens
		slots := base[m] * float64(c.Slots)
		lower[m] = oneEngine
		if s.crowds(slots) {
			anyCrowded = true
		} else {
			needed := float64(s.Items) / crowdedItemsPerSlot / float64(c.Slots)
			lower[m] = max(oneEngine, min(needed, base[m]))
		}
		upper[m] = max(lower[m], float64(s.Items)/float64(c.Slots))
	}
	if !anyCrowded || work <= 0 {
		return nil
	}
	limitSum(models, lower, oneEngine)
	return fill(models, func(m string, level float64) float64 {
		return min(max(level*steps[m].Tokens/work, lower[m]), upper[m])
	})
}

// limitSum lowers the bounds so that they add up to at most 1, and none below minimum. They
// exceed 1 if one engine is much for the share of a model. The sums are formed in the order
// of the models, so that all instances round alike.
func limitSum(models []string, lower map[string]float64, minimum float64) {
	excess, available := 0.0, 1.0
	for _, m := range models {
		excess += lower[m] - minimum
		available -= minimum
	}
	if excess <= available {
		return
	}
	for _, m := range models {
		lower[m] = minimum + (lower[m]-minimum)*available/excess
	}
}

// fill returns the shares at the level at which they add up to 1. share must not decrease
// with the level. If the shares don't reach a sum of 1 at any level, or exceed it at all,
// they are scaled.
func fill(models []string, share func(model string, level float64) float64) map[string]float64 {
	sum := func(level float64) float64 {
		total := 0.0
		for _, m := range models {
			total += share(m, level)
		}
		return total
	}
	low, high := 0.0, 1.0
	for sum(high) < 1 && high < 1e6 {
		high *= 2
	}
	// Fifty halvings give the same result on all instances to within the precision of a
	// share in engines.
	for range 50 {
		if middle := (low + high) / 2; sum(middle) < 1 {
			low = middle
		} else {
			high = middle
		}
	}
	total := sum(high)
	shares := make(map[string]float64, len(models))
	for _, m := range models {
		shares[m] = share(m, high) / total
	}
	return shares
}

// division is the division of the engines of one service by need. Its state changes only
// at times that follow from the steps that were recorded, and not when it is read, so that
// instances with the same news have the same division however often they use it.
type division struct {
	models   []string
	steps    map[string]Step
	base     map[string]float64
	capacity Capacity
	// shares holds the shares by need; nil while the engines are divided by
	// Demand.shares.
	shares    map[string]float64
	changedAt timer.Instant
	decidedAt timer.Instant
	// changes counts the changes, and deferred says that one waits for
	// divisionInterval to pass.
	changes  int
	deferred bool
	// reported is the number of changes that were logged.
	reported int
}

// record adds a step, with the base shares and the capacity at that time.
func (d *division) record(model string, s Step, base map[string]float64, c Capacity) {
	d.advance(s.RequestedAt)
	if d.steps == nil {
		d.steps = make(map[string]Step)
	}
	d.steps[model] = s
	d.base = base
	d.capacity = c
	d.decide(s.RequestedAt)
}

// advance makes the decisions that became due by now.
func (d *division) advance(now timer.Instant) {
	for {
		next, ok := d.nextDecision()
		if !ok || next > now {
			return
		}
		d.decide(next)
	}
}

// nextDecision returns when the next decision is due: after divisionInterval if a change
// was deferred, and when a step is forgotten.
func (d *division) nextDecision() (timer.Instant, bool) {
	var next timer.Instant
	found := false
	consider := func(at timer.Instant) {
		if at > d.decidedAt && (!found || at < next) {
			next, found = at, true
		}
	}
	if d.deferred {
		consider(d.changedAt.Add(divisionInterval))
	}
	for _, s := range d.steps {
		consider(s.RequestedAt.Add(stepMemory))
	}
	return next, found
}

// decide changes the shares if the steps known at a time require it.
func (d *division) decide(at timer.Instant) {
	d.decidedAt = at
	d.deferred = false
	target := NeedShares(d.models, d.base, d.stepsAt(at), d.capacity)
	if !d.changeNeeded(target) {
		return
	}
	if d.changes > 0 && at.Sub(d.changedAt) < divisionInterval {
		d.deferred = true
		return
	}
	d.shares = target
	d.changedAt = at
	d.changes++
}

// stepsAt returns the steps; those that are forgotten at a time have no items.
func (d *division) stepsAt(at timer.Instant) map[string]Step {
	steps := maps.Clone(d.steps)
	for m, s := range steps {
		if !s.known(at) {
			steps[m] = Step{}
		}
	}
	return steps
}

// changeNeeded reports whether target differs enough from the present shares.
func (d *division) changeNeeded(target map[string]float64) bool {
	if target == nil || d.shares == nil && d.base == nil {
		return d.shares != nil
	}
	present := d.present()
	return slices.ContainsFunc(d.models, func(m string) bool {
		change := math.Abs(target[m] - present[m])
		return change*float64(d.capacity.Engines) >= 1-roundingTolerance && change >= minChange*present[m]-roundingTolerance
	})
}

// present returns the shares in force, by need or by Demand.shares.
func (d *division) present() map[string]float64 {
	if d.shares != nil {
		return d.shares
	}
	return d.base
}

// describe returns the share of each model, and the items, the tokens and the age of its
// latest step, for the log.
func (d *division) describe(now timer.Instant) string {
	var list []string
	for _, m := range d.models {
		text := fmt.Sprintf("%s:share=%.3f", m, d.present()[m])
		if s, ok := d.steps[m]; ok {
			text += fmt.Sprintf(",items=%d,tokens=%.0f,age_ms=%d", s.Items, s.Tokens, now.Sub(s.RequestedAt).Milliseconds())
		}
		list = append(list, text)
	}
	return strings.Join(list, " ")
}

// sharesOf returns the shares of a part of the models, which are those by need at a time
// among them. It returns nil if the engines are divided by Demand.shares.
func (d *division) sharesOf(models []string, now timer.Instant) map[string]float64 {
	if d == nil {
		return nil
	}
	d.advance(now)
	if d.shares == nil {
		return nil
	}
	total := 0.0
	for _, m := range models {
		if d.shares[m] <= 0 {
			return nil
		}
		total += d.shares[m]
	}
	shares := make(map[string]float64, len(models))
	for _, m := range models {
		shares[m] = d.shares[m] / total
	}
	return shares
}

// stepping returns the models whose latest step still counts.
func (d *division) stepping(now timer.Instant) map[string]bool {
	stepping := make(map[string]bool, len(d.steps))
	for m, s := range d.steps {
		stepping[m] = s.known(now)
	}
	return stepping
}

// crowded returns the models whose latest step crowds its share at a time.
func (d *division) crowded(now timer.Instant) map[string]bool {
	crowded := make(map[string]bool)
	if d == nil {
		return crowded
	}
	d.advance(now)
	shares := d.present()
	for m, s := range d.steps {
		if s.known(now) && s.crowds(shares[m]*float64(d.capacity.Slots)) {
			crowded[m] = true
		}
	}
	return crowded
}

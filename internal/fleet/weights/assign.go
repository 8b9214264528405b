package weights

import (
	"math"
	"sort"
)

// equalFraction is the fraction of the engines that is divided equally among the models.
// The rest is divided in proportion to the work of their steps. The equal part is needed
// because a step with little work has long items as well, and a trainer with small steps
// may request large ones next.
const equalFraction = 0.5

// Demand holds the smoothed work of a step of each model, in tokens. Models without a known
// step are absent.
type Demand map[string]float64

// withStep returns the demand after one more step. It smooths the work, because each change
// of the shares makes engines load weights that other engines already have.
func (d Demand) withStep(model string, tokens float64) Demand {
	const smoothing = 0.2
	updated := make(Demand, len(d)+1)
	for m, t := range d {
		updated[m] = t
	}
	if old, ok := updated[model]; ok {
		tokens = old + smoothing*(tokens-old)
	}
	updated[model] = tokens
	return updated
}

// shares returns the fraction of the engines for each model. The fractions are equal if
// the work of any model is unknown.
func (d Demand) shares(models []string) map[string]float64 {
	total := 0.0
	for _, m := range models {
		if d[m] <= 0 {
			total = 0
			break
		}
		total += d[m]
	}
	shares := make(map[string]float64, len(models))
	for _, m := range models {
		shares[m] = 1 / float64(len(models))
		if total > 0 {
			shares[m] = equalFraction*shares[m] + (1-equalFraction)*d[m]/total
		}
	}
	return shares
}

// assigner holds the state of Assign and AssignByNeed.
type assigner struct {
	models []string
	shares map[string]float64
	total  int
	// engines holds the engines by ascending ID.
	engines []Engine
	// modelOf holds the model of each engine, by engine ID.
	modelOf map[string]string
	// sizes holds the number of engines assigned to each model.
	sizes map[string]int
	// pinned holds the engines that must stay with their model, by engine ID.
	pinned map[string]bool
}

func newAssigner(engines []Engine, models []string, shares map[string]float64) *assigner {
	a := &assigner{
		models:  models,
		shares:  shares,
		total:   len(engines),
		engines: append([]Engine(nil), engines...),
		modelOf: make(map[string]string, len(engines)),
		sizes:   make(map[string]int, len(models)),
		pinned:  make(map[string]bool),
	}
	sort.Slice(a.engines, func(i, j int) bool { return a.engines[i].ID < a.engines[j].ID })
	return a
}

// Assign divides engines among models and returns the model of each engine, by engine ID.
// An engine stays with the model whose weights it has closest to the latest version,
// unless the set of that model exceeds its share. The remaining engines go to the sets
// that are filled least relative to their shares. A set that is below its share, as after
// the loss of its engines, gets engines from the set that is filled most.
func Assign(engines []Engine, models []string, latest map[string]uint64, demand Demand) map[string]string {
	return assignByShares(engines, models, latest, demand.shares(models))
}

// assignByShares divides engines as Assign does, by given shares.
func assignByShares(engines []Engine, models []string, latest map[string]uint64, shares map[string]float64) map[string]string {
	a := newAssigner(engines, models, shares)
	if len(models) == 0 {
		return a.modelOf
	}
	a.assignClosest(latest)
	a.assignRest()
	for {
		to, from := a.leastFilled(), a.mostFilled()
		if a.sizes[to] >= a.minSize(to) || a.sizes[from] <= a.minSize(from) {
			return a.modelOf
		}
		a.moveOne(from, to)
	}
}

// AssignByNeed divides engines among models as Assign does, by given shares. An engine
// with the latest version of a model in stepping, which are the models with a step under
// way, stays with that model even if its set exceeds its share: a load during the step
// would cost the step more than the other model gains. Such sets shrink when the next
// version is published, and the engines have to load in any case. If there are enough
// engines, each model gets at least one.
func AssignByNeed(engines []Engine, models []string, latest map[string]uint64, shares map[string]float64, stepping map[string]bool) map[string]string {
	a := newAssigner(engines, models, shares)
	if len(models) == 0 {
		return a.modelOf
	}
	for _, e := range a.engines {
		if m := closestModel(e, models, latest); m != "" && stepping[m] && e.Versions[m] >= latest[m] {
			a.assign(e, m)
			a.pinned[e.ID] = true
		}
	}
	a.assignClosest(latest)
	a.assignRest()
	for {
		to, from := a.receiver(), a.donor()
		if to == "" || from == "" {
			break
		}
		a.moveOne(from, to)
	}
	for _, m := range models {
		if a.sizes[m] > 0 || a.total < len(models) {
			continue
		}
		from := models[0]
		for _, other := range models {
			if a.sizes[other] > a.sizes[from] {
				from = other
			}
		}
		clear(a.pinned)
		a.moveOne(from, m)
	}
	return a.modelOf
}

// assignClosest assigns the engines without a model to the model whose weights they have
// closest to the latest version, up to its share.
func (a *assigner) assignClosest(latest map[string]uint64) {
	for _, e := range a.engines {
		if a.modelOf[e.ID] != "" {
			continue
		}
		if model := closestModel(e, a.models, latest); model != "" && a.sizes[model] < a.maxSize(model) {
			a.assign(e, model)
		}
	}
}

// assignRest assigns the engines without a model to the least filled sets.
func (a *assigner) assignRest() {
	for _, e := range a.engines {
		if a.modelOf[e.ID] == "" {
			a.assign(e, a.leastFilled())
		}
	}
}

// moveOne moves the first engine that is not pinned from one set to another.
func (a *assigner) moveOne(from, to string) {
	for _, e := range a.engines {
		if a.modelOf[e.ID] == from && !a.pinned[e.ID] {
			a.sizes[from]--
			a.assign(e, to)
			return
		}
	}
}

// receiver returns the least filled model with fewer engines than its share, or "" if there
// is none.
func (a *assigner) receiver() string {
	best := ""
	for _, m := range a.models {
		if a.sizes[m] < a.minSize(m) && (best == "" || a.fillRatio(m) < a.fillRatio(best)-roundingTolerance) {
			best = m
		}
	}
	return best
}

// donor returns the most filled model with more engines than its share, one of which is
// not pinned, or "" if there is none.
func (a *assigner) donor() string {
	movable := make(map[string]bool)
	for _, e := range a.engines {
		if !a.pinned[e.ID] {
			movable[a.modelOf[e.ID]] = true
		}
	}
	best := ""
	for _, m := range a.models {
		if movable[m] && a.sizes[m] > a.minSize(m) && (best == "" || a.fillRatio(m) > a.fillRatio(best)+roundingTolerance) {
			best = m
		}
	}
	return best
}

// assign adds an engine to a model's set.
func (a *assigner) assign(e Engine, model string) {
	a.modelOf[e.ID] = model
	a.sizes[model]++
}

// maxSize returns the share of a model in engines, rounded up.
func (a *assigner) maxSize(model string) int {
	return int(math.Ceil(a.shares[model]*float64(a.total) - roundingTolerance))
}

// minSize returns the share of a model in engines, rounded down, but at least 1.
func (a *assigner) minSize(model string) int {
	return max(1, int(a.shares[model]*float64(a.total)+roundingTolerance))
}

// roundingTolerance compensates for floating-point errors, so that a third of nine engines
// is three.
const roundingTolerance = 1e-9

// fillRatio returns the size of a model's set relative to the model's share.
func (a *assigner) fillRatio(model string) float64 { return float64(a.sizes[model]) / a.shares[model] }

// leastFilled returns the model with the lowest fillRatio.
func (a *assigner) leastFilled() string {
	best := a.models[0]
	for _, m := range a.models[1:] {
		if a.fillRatio(m) < a.fillRatio(best)-roundingTolerance {
			best = m
		}
	}
	return best
}

// mostFilled returns the model with the highest fillRatio.
func (a *assigner) mostFilled() string {
	best := a.models[0]
	for _, m := range a.models[1:] {
		if a.fillRatio(m) > a.fillRatio(best)+roundingTolerance {
			best = m
		}
	}
	return best
}

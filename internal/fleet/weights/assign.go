package weights

import (
	"math"
	"slices"
	"strings"
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

// noModel is the index of the model of an engine that has none yet.
const noModel = -1

// assigner holds the state of Assign and AssignByNeed. Models are numbered by their place in
// models, and engines by ascending ID.
type assigner struct {
	models  []string
	engines []Engine
	// modelOf holds the model of each engine, or noModel.
	modelOf []int
	// closest holds the result of closestModel for each engine.
	closest []int
	// pinned holds the engines that must stay with their model.
	pinned []bool
	// shares, minSizes, maxSizes and sizes hold the share of each model, the share in engines
	// rounded down, but at least 1, and rounded up, and the number of engines assigned.
	shares                    []float64
	minSizes, maxSizes, sizes []int
	// movable is the number of assigned engines of each model that are not pinned, and firstMovable
	// the index before which there is none of them.
	movable, firstMovable []int
}

func newAssigner(engines []Engine, models []string, latest map[string]uint64, shares map[string]float64) *assigner {
	a := &assigner{
		models:       models,
		engines:      engines,
		modelOf:      make([]int, len(engines)),
		closest:      make([]int, len(engines)),
		pinned:       make([]bool, len(engines)),
		shares:       make([]float64, len(models)),
		minSizes:     make([]int, len(models)),
		maxSizes:     make([]int, len(models)),
		sizes:        make([]int, len(models)),
		movable:      make([]int, len(models)),
		firstMovable: make([]int, len(models)),
	}
	byID := func(x, y Engine) int { return strings.Compare(x.ID, y.ID) }
	if !slices.IsSortedFunc(engines, byID) {
		a.engines = slices.SortedFunc(slices.Values(engines), byID)
	}
	for i, e := range a.engines {
		a.modelOf[i] = noModel
		a.closest[i] = closestModel(e, models, latest)
	}
	for m, name := range models {
		share := shares[name] * float64(len(engines))
		a.shares[m] = shares[name]
		a.minSizes[m] = max(1, int(share+roundingTolerance))
		a.maxSizes[m] = int(math.Ceil(share - roundingTolerance))
	}
	return a
}

// result returns the model of each engine, by engine ID.
func (a *assigner) result() map[string]string {
	modelOf := make(map[string]string, len(a.engines))
	for i, m := range a.modelOf {
		if m != noModel {
			modelOf[a.engines[i].ID] = a.models[m]
		}
	}
	return modelOf
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
	a := newAssigner(engines, models, latest, shares)
	if len(models) == 0 {
		return a.result()
	}
	a.assignClosest()
	a.assignRest()
	for {
		to, from := a.leastFilled(), a.mostFilled()
		if a.sizes[to] >= a.minSizes[to] || a.sizes[from] <= a.minSizes[from] {
			return a.result()
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
	a := newAssigner(engines, models, latest, shares)
	if len(models) == 0 {
		return a.result()
	}
	for i, e := range a.engines {
		if m := a.closest[i]; m != noModel && stepping[models[m]] && e.Versions[models[m]] >= latest[models[m]] {
			a.pinned[i] = true
			a.assign(i, m)
		}
	}
	a.assignClosest()
	a.assignRest()
	for {
		to, from := a.receiver(), a.donor()
		if to == noModel || from == noModel {
			break
		}
		a.moveOne(from, to)
	}
	for m := range models {
		if a.sizes[m] > 0 || len(a.engines) < len(models) {
			continue
		}
		from := 0
		for other := range models {
			if a.sizes[other] > a.sizes[from] {
				from = other
			}
		}
		a.unpinAll()
		a.moveOne(from, m)
	}
	return a.result()
}

// assignClosest assigns the engines without a model to the model whose weights they have
// closest to the latest version, up to its share.
func (a *assigner) assignClosest() {
	for i, m := range a.closest {
		if a.modelOf[i] == noModel && m != noModel && a.sizes[m] < a.maxSizes[m] {
			a.assign(i, m)
		}
	}
}

// assignRest assigns the engines without a model to the least filled sets.
func (a *assigner) assignRest() {
	for i := range a.engines {
		if a.modelOf[i] == noModel {
			a.assign(i, a.leastFilled())
		}
	}
}

// moveOne moves the first engine that is not pinned from one set to another.
func (a *assigner) moveOne(from, to int) {
	for i := a.firstMovable[from]; i < len(a.engines); i++ {
		if a.modelOf[i] == from && !a.pinned[i] {
			a.firstMovable[from] = i + 1
			a.sizes[from]--
			a.movable[from]--
			a.assign(i, to)
			return
		}
	}
}

// unpinAll makes all engines movable.
func (a *assigner) unpinAll() {
	clear(a.pinned)
	clear(a.firstMovable)
	copy(a.movable, a.sizes)
}

// receiver returns the least filled model with fewer engines than its share, or noModel if
// there is none.
func (a *assigner) receiver() int {
	best := noModel
	for m := range a.models {
		if a.sizes[m] < a.minSizes[m] && (best == noModel || a.fillRatio(m) < a.fillRatio(best)-roundingTolerance) {
			best = m
		}
	}
	return best
}

// donor returns the most filled model with more engines than its share, one of which is
// not pinned, or noModel if there is none.
func (a *assigner) donor() int {
	best := noModel
	for m := range a.models {
		if a.movable[m] > 0 && a.sizes[m] > a.minSizes[m] && (best == noModel || a.fillRatio(m) > a.fillRatio(best)+roundingTolerance) {
			best = m
		}
	}
	return best
}

// assign adds an engine to a model's set.
func (a *assigner) assign(i, m int) {
	a.modelOf[i] = m
	a.sizes[m]++
	if !a.pinned[i] {
		a.movable[m]++
		a.firstMovable[m] = min(a.firstMovable[m], i)
	}
}

// roundingTolerance compensates for floating-point errors, so that a third of nine engines
// is three.
const roundingTolerance = 1e-9

// fillRatio returns the size of a model's set relative to the model's share.
func (a *assigner) fillRatio(m int) float64 { return float64(a.sizes[m]) / a.shares[m] }

// leastFilled returns the model with the lowest fillRatio.
func (a *assigner) leastFilled() int {
	best := 0
	for m := range a.models {
		if a.fillRatio(m) < a.fillRatio(best)-roundingTolerance {
			best = m
		}
	}
	return best
}

// mostFilled returns the model with the highest fillRatio.
func (a *assigner) mostFilled() int {
	best := 0
	for m := range a.models {
		if a.fillRatio(m) > a.fillRatio(best)+roundingTolerance {
			best = m
		}
	}
	return best
}

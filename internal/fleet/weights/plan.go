package weights

import (
	"cmp"
	"slices"
	"strings"
)

// Engine is the state of an engine as Plan and Assign see it.
type Engine struct {
	ID string
	// Region is the region of the engine, or empty if it is unknown.
	Region string
	// Versions holds the version of each model's weights on the engine.
	Versions map[string]uint64
	// Loading is the model whose weights the engine is loading, if any.
	Loading string
	// Utilization is the utilization of the engine's slots; 1 means that all are taken.
	Utilization float64
}

// Order makes an engine load a version of a model.
type Order struct {
	Engine  string
	Model   string
	Version uint64
}

// enginesPerLoad is the number of engines for each concurrent load: loads slow each
// other down if more than about a fifth of the engines load.
const enginesPerLoad = 5

// MaxLoads returns how many of n engines may load at the same time.
func MaxLoads(n int) int { return max(1, (n+enginesPerLoad/2)/enginesPerLoad) }

// closestModel returns the index of the model whose latest version the engine is least
// behind, or noModel if the engine has no model beyond its first version.
func closestModel(e Engine, models []string, latest map[string]uint64) int {
	best, behind := noModel, uint64(0)
	for i, m := range models {
		v := e.Versions[m]
		if v <= 1 {
			continue
		}
		if gap := max(latest[m], v) - v; best == noModel || gap < behind {
			best, behind = i, gap
		}
	}
	return best
}

// candidate is an order to an engine that does not have the latest version of its model.
type candidate struct {
	Order
	// urgent says that the engine cannot serve the newest step of its model.
	urgent      bool
	utilization float64
}

// candidateClass is a set of candidates that servingCounts.less orders by utilization and ID alone.
type candidateClass struct {
	model  string
	urgent bool
}

// compare orders candidates of the same class.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.utilization, other.utilization), strings.Compare(c.Engine, other.Engine))
}

// servingCounts holds, by model, the number of engines in the model's set that can serve
// its newest step (current) and the one after (next). Engines that are loading count as
// if they had loaded.
type servingCounts struct {
	current, next map[string]int
}

// add counts an engine of a model's set that is a number of versions behind the latest.
func (s servingCounts) add(model string, behind uint64) {
	if behind <= 1 {
		s.current[model]++
	}
	if behind == 0 {
		s.next[model]++
	}
}

// less reports whether a goes before b. Urgent candidates go first, and among equally
// urgent ones the model with the fewest serving engines. A trainer that is behind
// requests two steps at almost the same time. If its engines came after those that
// other trainers need only some seconds later, its step would stall.
func (s servingCounts) less(a, b candidate) bool {
	if a.urgent != b.urgent {
		return a.urgent
	}
	counts := s.next
	if a.urgent {
		counts = s.current
	}
	if x, y := counts[a.Model], counts[b.Model]; x != y {
		return x < y
	}
	return a.compare(b) < 0
}

// Plan returns the orders to give now, at most maxLoads minus the loads in progress.
//
// latest holds the latest published version of each model, assignment the model of each
// engine. Engines whose weights are too old for the newest step go first, then the ones
// with the lowest utilization, so that a step always finds serving engines while others
// load. recent contains the models whose latest version was published a moment ago. The
// items of that step are still being placed, and an engine that loads accepts none, so
// engines that are one version behind don't load yet.
func Plan(engines []Engine, latest map[string]uint64, recent map[string]bool, assignment map[string]string, maxLoads int) []Order {
	serving := servingCounts{
		current: make(map[string]int),
		next:    make(map[string]int),
	}
	candidates := make(map[candidateClass][]candidate)
	for _, e := range engines {
		model := assignment[e.ID]
		if e.Loading != "" {
			maxLoads--
			if e.Loading == model {
				serving.add(model, 0)
			}
			continue
		}
		behind := latest[model] - min(latest[model], e.Versions[model])
		serving.add(model, behind)
		if behind == 0 || behind == 1 && recent[model] {
			continue
		}
		class := candidateClass{
			model:  model,
			urgent: behind > 1,
		}
		candidates[class] = append(candidates[class], candidate{
			Order: Order{
				Engine:  e.ID,
				Model:   model,
				Version: latest[model],
			},
			urgent:      class.urgent,
			utilization: e.Utilization,
		})
	}
	for _, list := range candidates {
		slices.SortFunc(list, candidate.compare)
	}
	var orders []Order
	for len(orders) < maxLoads && len(candidates) > 0 {
		// The candidates of a class differ only by what they are sorted by, so only the
		// first of each class can be the next one.
		var best candidateClass
		found := false
		for class, list := range candidates {
			if !found || serving.less(list[0], candidates[best][0]) {
				best, found = class, true
			}
		}
		orders = append(orders, candidates[best][0].Order)
		serving.add(best.model, 0)
		if candidates[best] = candidates[best][1:]; len(candidates[best]) == 0 {
			delete(candidates, best)
		}
	}
	return orders
}

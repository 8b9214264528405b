package weights

import (
	"slices"
)

// Engine is what a plan knows of one engine.
type Engine struct {
	ID       string
	Versions map[string]uint64
	// Loading names the model whose weights the engine loads now, if any.
	Loading string
	// Load is the use of its slots; 1 means that all are taken.
	Load float64
}

// Order moves an engine to a version of a model.
type Order struct {
	Engine  string
	Model   string
	Version uint64
}

// atOnceShare is how many engines share one load at a time: loads slow each
// other down beyond about a fifth of the engines.
const atOnceShare = 5

// AtOnce returns how many of n engines load at the same time.
func AtOnce(n int) int { return max(1, (n+atOnceShare/2)/atOnceShare) }

// home returns the model whose newest version the engine is least behind, or
// nothing if it never moved beyond the first version of any.
func home(e Engine, models []string, named map[string]uint64) string {
	best, behind := "", uint64(0)
	for _, m := range models {
		v := e.Versions[m]
		if v <= 1 {
			continue
		}
		if gap := max(named[m], v) - v; best == "" || gap < behind {
			best, behind = m, gap
		}
	}
	return best
}

// want is an order that would be of use.
type want struct {
	Order
	// urgent says that the engine can't serve the newest step of its model.
	urgent bool
	load   float64
}

// supply counts the engines of each model's set that serve its newest step, and
// those that will serve the one after; engines that load count already.
type supply struct {
	now, next map[string]int
}

func (s supply) add(model string, behind uint64) {
	if behind <= 1 {
		s.now[model]++
	}
	if behind == 0 {
		s.next[model]++
	}
}

// before reports whether a is ordered before b: first what the newest steps wait
// for, and of that the model with the fewest engines at work. A trainer that is
// behind asks for two steps at almost the same time, and with its engines behind
// those that others will need in some seconds its step stands still.
func (s supply) before(a, b want) bool {
	if a.urgent != b.urgent {
		return a.urgent
	}
	have := s.next
	if a.urgent {
		have = s.now
	}
	if x, y := have[a.Model], have[b.Model]; x != y {
		return x < y
	}
	if a.load != b.load {
		return a.load < b.load
	}
	return a.Engine < b.Engine
}

// Plan returns the orders to give now. Engines whose weights are too old for
// the next step go first, then the idle ones, so that a step always finds
// engines at work while others load. fresh are the models whose newest version
// was named a moment ago: the items of that step are on their way, and an engine
// that loads takes none, so those with the version before wait a little.
func Plan(engines []Engine, named map[string]uint64, fresh map[string]bool, sets map[string]string, atOnce int) []Order {
	has := supply{
		now:  make(map[string]int),
		next: make(map[string]int),
	}
	var wants []want
	for _, e := range engines {
		model := sets[e.ID]
		if e.Loading != "" {
			atOnce--
			if e.Loading == model {
				has.add(model, 0)
			}
			continue
		}
		behind := named[model] - min(named[model], e.Versions[model])
		has.add(model, behind)
		if behind == 0 || behind == 1 && fresh[model] {
			continue
		}
		wants = append(wants, want{
			Order: Order{
				Engine:  e.ID,
				Model:   model,
				Version: named[model],
			},
			urgent: behind > 1,
			load:   e.Load,
		})
	}
	var orders []Order
	for len(orders) < atOnce && len(wants) > 0 {
		best := 0
		for i := range wants {
			if has.before(wants[i], wants[best]) {
				best = i
			}
		}
		orders = append(orders, wants[best].Order)
		has.add(wants[best].Model, 0)
		wants = slices.Delete(wants, best, best+1)
	}
	return orders
}

package weights

import (
	"sort"
)

// Engine is what a plan knows of one engine.
type Engine struct {
	ID       string
	Versions map[string]uint64
	// Loading engines carry out an order now.
	Loading bool
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

// Plan returns the orders to give now. Engines whose weights are too old for
// the next step go first, then the idle ones, so that a step always finds
// engines at work while others load. fresh are the models whose newest version
// was named a moment ago: the items of that step are on their way, and an engine
// that loads takes none, so those with the version before wait a little.
func Plan(engines []Engine, named map[string]uint64, fresh map[string]bool, sets map[string]string, atOnce int) []Order {
	type want struct {
		Order
		behind uint64
		load   float64
	}
	var wants []want
	for _, e := range engines {
		if e.Loading {
			atOnce--
			continue
		}
		model := sets[e.ID]
		v := named[model]
		if fresh[model] && v == e.Versions[model]+1 {
			continue
		}
		if v > e.Versions[model] {
			wants = append(wants, want{
				Order: Order{
					Engine:  e.ID,
					Model:   model,
					Version: v,
				},
				behind: v - e.Versions[model],
				load:   e.Load,
			})
		}
	}
	sort.SliceStable(wants, func(i, j int) bool {
		a, b := wants[i], wants[j]
		if (a.behind > 1) != (b.behind > 1) {
			return a.behind > 1
		}
		if a.load != b.load {
			return a.load < b.load
		}
		return a.Engine < b.Engine
	})
	var orders []Order
	for _, w := range wants {
		if len(orders) >= atOnce {
			break
		}
		orders = append(orders, w.Order)
	}
	return orders
}

package placement

import (
	"sort"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// Engine is the last reported state of an engine.
type Engine struct {
	ID      string
	Address string
	// Version is the version that the engine runs.
	Version version.Version
	// Fetched is the newest version whose weights the engine has fetched.
	Fetched version.Version
	Busy    bool
}

// Limits bounds the number of orders in progress, by action.
type Limits struct {
	Fetches  int
	Switches int
}

// Order is an order for one engine.
type Order struct {
	Engine Engine
	Action engine.Action
}

// Plan returns the next orders that bring engines to the wanted version. inFlight
// holds the action of the order in progress of each engine, by engine ID: these
// engines get no other order, and their orders count against the limits. An
// engine is never ordered to an older version than it reports.
func Plan(engines []Engine, wanted version.Version, inFlight map[string]engine.Action, limits Limits) []Order {
	fetches, switches := limits.Fetches, limits.Switches
	for _, action := range inFlight {
		switch action {
		case engine.ActionFetch:
			fetches--
		case engine.ActionSwitch:
			switches--
		}
	}
	sorted := append([]Engine(nil), engines...)
	// The engines that are furthest behind come first, because their samples are
	// the first to become too old.
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Version.Less(sorted[j].Version) })
	var orders []Order
	for _, e := range sorted {
		if _, ok := inFlight[e.ID]; ok || !e.Version.Less(wanted) {
			continue
		}
		action, available := engine.ActionSwitch, &switches
		if e.Fetched.Less(wanted) {
			action, available = engine.ActionFetch, &fetches
		}
		if *available <= 0 {
			continue
		}
		*available--
		orders = append(orders, Order{
			Engine: e,
			Action: action,
		})
	}
	return orders
}

package placement

import (
	"sort"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// Engine is what is known of one engine.
type Engine struct {
	ID      string
	Address string
	Version version.Version
	Fetched version.Version
	Busy    bool
}

// Limits bound the orders that are under way.
type Limits struct {
	Fetches  int
	Switches int
}

// Order is an order for one engine.
type Order struct {
	Engine Engine
	Action engine.Action
}

// Plan returns the orders that bring engines to the wanted version. Engines
// that already have an order under way are left alone; the orders that are
// under way count against the limits. An engine is never ordered to an older
// version than it reports.
func Plan(engines []Engine, wanted version.Version, underWay map[string]engine.Action, l Limits) []Order {
	fetches, switches := l.Fetches, l.Switches
	for _, action := range underWay {
		switch action {
		case engine.ActionFetch:
			fetches--
		case engine.ActionSwitch:
			switches--
		}
	}
	sorted := append([]Engine(nil), engines...)
	// The engines that are furthest behind come first: they are the first
	// whose samples become too old.
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Version.Less(sorted[j].Version) })
	var orders []Order
	for _, e := range sorted {
		if _, ok := underWay[e.ID]; ok || !e.Version.Less(wanted) {
			continue
		}
		action, room := engine.ActionSwitch, &switches
		if e.Fetched.Less(wanted) {
			action, room = engine.ActionFetch, &fetches
		}
		if *room <= 0 {
			continue
		}
		*room--
		orders = append(orders, Order{
			Engine: e,
			Action: action,
		})
	}
	return orders
}

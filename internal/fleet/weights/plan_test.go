package weights

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/standin/property"
)

func newEngine(id string, load float64, versions map[string]uint64) Engine {
	return Engine{
		ID:          id,
		Versions:    versions,
		Utilization: load,
	}
}

// Guards against engines that change their model. Three trainers share nine engines. If
// every engine loaded the weights of all three models, two loads in three would serve no
// request, and engines would do little but load. Engines have to stay with their model
// while versions advance, also when orders are late.
func TestEnginesKeepTheirModel(t *testing.T) {
	is := is.New(t)
	models := []string{"m0", "m1", "m2"}
	var engines []Engine
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		engines = append(engines, newEngine(id, 0, map[string]uint64{"m0": 1, "m1": 1, "m2": 1}))
	}
	latest := map[string]uint64{"m0": 2, "m1": 2, "m2": 2}
	assignment := Assign(engines, models, latest, nil)
	sizes := map[string]int{}
	for i, e := range engines {
		sizes[assignment[e.ID]]++
		engines[i].Versions = map[string]uint64{"m0": 1, "m1": 1, "m2": 1, assignment[e.ID]: 2}
	}
	is.Equal(sizes, map[string]int{"m0": 3, "m1": 3, "m2": 3})
	// No orders were given for a while: all sets are three versions or more behind.
	latest = map[string]uint64{"m0": 5, "m1": 6, "m2": 5}
	is.Equal(Assign(engines, models, latest, nil), assignment)
	// An engine is lost: the others keep their model.
	after := Assign(engines[1:], models, latest, nil)
	for id, model := range after {
		is.Equal(assignment[id], model)
	}
	// All engines of a model are lost: the models share the remaining engines.
	var remaining []Engine
	for _, e := range engines {
		if assignment[e.ID] != "m1" {
			remaining = append(remaining, e)
		}
	}
	sizes = map[string]int{}
	for _, model := range Assign(remaining, models, latest, nil) {
		sizes[model]++
	}
	is.Equal(sizes, map[string]int{"m0": 2, "m1": 2, "m2": 2})
}

// Guards against sets of equal size for models with unequal work. Three trainers share 48
// engines; the steps of two have more than twice the work of the third. With equal sets,
// the steps of two trainers would take too long as soon as some of their engines failed,
// while a third of the engines had little to do. A small change of the work must not move
// any engine.
func TestSetSizesFollowDemand(t *testing.T) {
	is := is.New(t)
	models := []string{"m0", "m1", "m2"}
	var engines []Engine
	for i := range 48 {
		engines = append(engines, newEngine(fmt.Sprintf("e%02d", i), 0, map[string]uint64{"m0": 1, "m1": 1, "m2": 1}))
	}
	latest := map[string]uint64{"m0": 2, "m1": 2, "m2": 2}
	demand := Demand{}.withStep("m0", 140_000).withStep("m1", 330_000).withStep("m2", 300_000)
	count := func(assignment map[string]string) map[string]int {
		sizes := map[string]int{}
		for _, m := range assignment {
			sizes[m]++
		}
		return sizes
	}
	// The work of some models is unknown.
	is.Equal(count(Assign(engines, models, latest, Demand{"m0": 1})), map[string]int{"m0": 16, "m1": 16, "m2": 16})
	assignment := Assign(engines, models, latest, demand)
	is.Equal(count(assignment), map[string]int{"m0": 13, "m1": 18, "m2": 17})
	for i, e := range engines {
		engines[i].Versions = map[string]uint64{"m0": 1, "m1": 1, "m2": 1, assignment[e.ID]: 2}
	}
	is.Equal(Assign(engines, models, latest, demand.withStep("m1", 300_000)), assignment)
}

// Guards against engines that load just when the items of a step are placed. A version is
// published and its step submitted at the same moment. Engines with the previous version
// can serve the step, and an engine that loads accepts no new items, so these engines have
// to wait. Engines that are too old for the step load at once.
func TestOutdatedEnginesLoadFirst(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		newEngine("idle", 0, map[string]uint64{"m": 4}),
		newEngine("old", 0.9, map[string]uint64{"m": 3}),
		newEngine("busy", 0.5, map[string]uint64{"m": 4}),
	}
	latest := map[string]uint64{"m": 5}
	assignment := map[string]string{"idle": "m", "old": "m", "busy": "m"}
	whilePlacing := Plan(engines, latest, map[string]bool{"m": true}, assignment, 2)
	is.Equal(len(whilePlacing), 1)
	is.Equal(whilePlacing[0].Engine, "old")
	afterPlacing := Plan(engines, latest, nil, assignment, 2)
	is.Equal(len(afterPlacing), 2)
	is.Equal(afterPlacing[0].Engine, "old")
	is.Equal(afterPlacing[1].Engine, "idle")
	engines[1].Loading = "m"
	is.Equal(len(Plan(engines, latest, nil, assignment, 1)), 0) // the one allowed load is in progress
}

// Guards against a step that stalls because the engines of its model load last. The
// trainer of m1 is behind and publishes two versions within a second. None of its engines
// can serve the second step, while other engines load versions that are needed only some
// seconds later. If orders were sorted by utilization alone, the engines of m1 would come
// last and its step would stall for three seconds.
func TestModelWithoutServingEnginesGoesFirst(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		newEngine("a", 0, map[string]uint64{"m0": 6}),
		newEngine("b", 0.1, map[string]uint64{"m0": 8}),
		newEngine("c", 0.9, map[string]uint64{"m1": 9}),
		newEngine("d", 0.8, map[string]uint64{"m1": 9}),
		newEngine("e", 0.2, map[string]uint64{"m0": 7}),
	}
	latest := map[string]uint64{"m0": 8, "m1": 11}
	assignment := map[string]string{"a": "m0", "b": "m0", "c": "m1", "d": "m1", "e": "m0"}
	orders := Plan(engines, latest, nil, assignment, 3)
	is.Equal(len(orders), 3)
	is.Equal(orders[0].Engine, "d") // no engine can serve the newest step of m1
	// One engine of m1 has an order by now, and two can serve the newest step of m0.
	is.Equal(orders[1].Engine, "c")
	is.Equal(orders[2].Engine, "a")
	// When engines can serve the newest steps of all models, the model with the
	// fewest engines for the step after goes first.
	engines[0].Versions["m0"] = 8
	engines[2].Loading, engines[3].Versions["m1"] = "m1", 10
	orders = Plan(engines, latest, nil, assignment, 3)
	is.Equal(len(orders), 2)
	is.Equal(orders[0].Engine, "d")
	is.Equal(orders[1].Engine, "e")
}

// Guards against too many concurrent loads, which slow each other down beyond a fifth of
// the engines.
func TestMaxLoadsIsAFifthOfEngines(t *testing.T) {
	is := is.New(t)
	for n, want := range map[int]int{1: 1, 9: 2, 11: 2, 44: 9, 48: 10} {
		is.Equal(MaxLoads(n), want)
	}
}

// Guards against a plan that differs from the one that compares each order with all candidates:
// only the first candidate of each class is compared, and each order changes the counts that
// the next depends on.
func TestPlanTakesTheFirstOfAllCandidates(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		latest := map[string]uint64{"m0": 5, "m1": 4, "m2": 3}
		assignment := make(map[string]string)
		serving := servingCounts{current: make(map[string]int), next: make(map[string]int)}
		var engines []Engine
		var all []candidate
		for i := range rapid.IntRange(1, 30).Draw(t, "engines") {
			id := fmt.Sprintf("e%02d", i)
			m := rapid.SampledFrom([]string{"m0", "m1", "m2"}).Draw(t, "model")
			behind := rapid.Uint64Range(0, 2).Draw(t, "behind")
			load := float64(rapid.IntRange(0, 2).Draw(t, "load"))
			assignment[id] = m
			engines = append(engines, newEngine(id, load, map[string]uint64{m: latest[m] - behind}))
			serving.add(m, behind)
			if behind > 0 {
				all = append(all, candidate{
					Order:       Order{Engine: id, Model: m, Version: latest[m]},
					urgent:      behind > 1,
					utilization: load,
				})
			}
		}
		maxLoads := rapid.IntRange(1, 30).Draw(t, "loads")
		var want []Order
		for len(want) < maxLoads && len(all) > 0 {
			best := 0
			for i := range all {
				if serving.less(all[i], all[best]) {
					best = i
				}
			}
			want = append(want, all[best].Order)
			serving.add(all[best].Model, 0)
			all = slices.Delete(all, best, best+1)
		}
		if got := Plan(engines, latest, nil, assignment, maxLoads); !slices.Equal(got, want) {
			t.Fatalf("orders %v, compared with all candidates %v", got, want)
		}
	})
}

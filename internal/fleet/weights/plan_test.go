package weights

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func engineOf(id string, load float64, versions map[string]uint64) Engine {
	return Engine{
		ID:       id,
		Versions: versions,
		Load:     load,
	}
}

// Three trainers share nine engines. If every engine loaded the weights of all
// of them, two loads in three would serve nobody, and engines would hardly do
// anything else. Engines stay with their model while versions move on, also
// when orders are behind.
func TestEnginesStayWithTheirModel(t *testing.T) {
	is := is.New(t)
	models := []string{"m0", "m1", "m2"}
	var engines []Engine
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		engines = append(engines, engineOf(id, 0, map[string]uint64{"m0": 1, "m1": 1, "m2": 1}))
	}
	named := map[string]uint64{"m0": 2, "m1": 2, "m2": 2}
	sets := Assign(engines, models, named, nil)
	size := map[string]int{}
	for i, e := range engines {
		size[sets[e.ID]]++
		engines[i].Versions = map[string]uint64{"m0": 1, "m1": 1, "m2": 1, sets[e.ID]: 2}
	}
	is.Equal(size, map[string]int{"m0": 3, "m1": 3, "m2": 3})
	// Nobody gave orders for a while: all sets are three versions behind.
	named = map[string]uint64{"m0": 5, "m1": 6, "m2": 5}
	is.Equal(Assign(engines, models, named, nil), sets)
	// An engine is lost: the others stay where they are.
	after := Assign(engines[1:], models, named, nil)
	for id, model := range after {
		is.Equal(sets[id], model)
	}
	// A whole set is lost: the others share what is left.
	var left []Engine
	for _, e := range engines {
		if sets[e.ID] != "m1" {
			left = append(left, e)
		}
	}
	size = map[string]int{}
	for _, model := range Assign(left, models, named, nil) {
		size[model]++
	}
	is.Equal(size, map[string]int{"m0": 2, "m1": 2, "m2": 2})
}

// Three trainers share 48 engines; the steps of two have more than twice the work
// of the third. With equal sets, steps of two trainers took longer than they may
// as soon as some of their engines failed, while a third of the engines had little
// to do. A small change of the work moves no engine.
func TestSetsFollowTheWork(t *testing.T) {
	is := is.New(t)
	models := []string{"m0", "m1", "m2"}
	var engines []Engine
	for i := range 48 {
		engines = append(engines, engineOf(fmt.Sprintf("e%02d", i), 0, map[string]uint64{"m0": 1, "m1": 1, "m2": 1}))
	}
	named := map[string]uint64{"m0": 2, "m1": 2, "m2": 2}
	demand := Demand{}.with("m0", 140_000).with("m1", 330_000).with("m2", 300_000)
	count := func(sets map[string]string) map[string]int {
		size := map[string]int{}
		for _, m := range sets {
			size[m]++
		}
		return size
	}
	is.Equal(count(Assign(engines, models, named, Demand{"m0": 1})), map[string]int{"m0": 16, "m1": 16, "m2": 16}) // not all are known
	sets := Assign(engines, models, named, demand)
	is.Equal(count(sets), map[string]int{"m0": 13, "m1": 18, "m2": 17})
	for i, e := range engines {
		engines[i].Versions = map[string]uint64{"m0": 1, "m1": 1, "m2": 1, sets[e.ID]: 2}
	}
	is.Equal(Assign(engines, models, named, demand.with("m1", 300_000)), sets)
}

// A version is named and its step is handed in at the same moment. Engines with
// the version before can serve it, and one that loads takes no new item, so they
// wait; those that are too old for the step load at once.
func TestOldEnginesLoadFirst(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		engineOf("idle", 0, map[string]uint64{"m": 4}),
		engineOf("old", 0.9, map[string]uint64{"m": 3}),
		engineOf("busy", 0.5, map[string]uint64{"m": 4}),
	}
	named := map[string]uint64{"m": 5}
	sets := map[string]string{"idle": "m", "old": "m", "busy": "m"}
	fresh := Plan(engines, named, map[string]bool{"m": true}, sets, 2)
	is.Equal(len(fresh), 1)
	is.Equal(fresh[0].Engine, "old")
	later := Plan(engines, named, nil, sets, 2)
	is.Equal(len(later), 2)
	is.Equal(later[0].Engine, "old")
	is.Equal(later[1].Engine, "idle")
	engines[1].Loading = "m"
	is.Equal(len(Plan(engines, named, nil, sets, 1)), 0) // no more than may load at once
}

// The trainer of m1 is behind and names two versions within a second. None of its
// engines can serve the second step, while the others load ahead what they need in
// some seconds. Ordered by load alone its engines came last, and its step stood
// still for three seconds.
func TestStepWithoutEnginesGoesFirst(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		engineOf("a", 0, map[string]uint64{"m0": 6}),
		engineOf("b", 0.1, map[string]uint64{"m0": 8}),
		engineOf("c", 0.9, map[string]uint64{"m1": 9}),
		engineOf("d", 0.8, map[string]uint64{"m1": 9}),
		engineOf("e", 0.2, map[string]uint64{"m0": 7}),
	}
	named := map[string]uint64{"m0": 8, "m1": 11}
	sets := map[string]string{"a": "m0", "b": "m0", "c": "m1", "d": "m1", "e": "m0"}
	orders := Plan(engines, named, nil, sets, 3)
	is.Equal(len(orders), 3)
	is.Equal(orders[0].Engine, "d") // no engine serves the newest step of m1
	is.Equal(orders[1].Engine, "c") // one is on its way, two serve that of m0
	is.Equal(orders[2].Engine, "a")
	// Once all have what their steps need, the model goes first that has the
	// fewest engines for the step after.
	engines[0].Versions["m0"] = 8
	engines[2].Loading, engines[3].Versions["m1"] = "m1", 10
	orders = Plan(engines, named, nil, sets, 3)
	is.Equal(len(orders), 2)
	is.Equal(orders[0].Engine, "d")
	is.Equal(orders[1].Engine, "e")
}

// Loads slow each other down beyond a fifth of the engines.
func TestAtOnce(t *testing.T) {
	is := is.New(t)
	for n, want := range map[int]int{1: 1, 9: 2, 11: 2, 44: 9, 48: 10} {
		is.Equal(AtOnce(n), want)
	}
}

package placement_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/placement"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// simulation is a few engines that carry out orders late, partly, or not at all.
type simulation struct {
	engines  []placement.Engine
	inFlight map[string]engine.Action
	wanted   version.Version
}

func (w *simulation) plan() []placement.Order {
	return placement.Plan(w.engines, w.wanted, w.inFlight, placement.Limits{
		Fetches:  2,
		Switches: 2,
	})
}

// carryOut completes an order. An outcome of "lost" means that the engine did not
// carry it out.
func (w *simulation) carryOut(o placement.Order, outcome string) {
	delete(w.inFlight, o.Engine.ID)
	for i := range w.engines {
		if w.engines[i].ID != o.Engine.ID || outcome == "lost" {
			continue
		}
		switch o.Action {
		case engine.ActionFetch:
			w.engines[i].Fetched = w.wanted
		case engine.ActionSwitch:
			w.engines[i].Version = w.wanted
		}
	}
}

// Switches fail partway, engines restart with old weights, and versions are
// published faster than they are ordered. No engine must be ordered back to
// older weights, and no more fetches be in progress at once than the weight store
// allows.
func TestPlanNeverDowngradesAndKeepsLimits(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		w := &simulation{
			inFlight: make(map[string]engine.Action),
			wanted: version.Version{
				Epoch:  1,
				Number: 1,
			},
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
			w.engines = append(w.engines, placement.Engine{
				ID: fmt.Sprint(i),
			})
		}
		var pending []placement.Order
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { w.wanted.Number++ },
			"plan": func(t *rapid.T) {
				for _, o := range w.plan() {
					if !o.Engine.Version.Less(w.wanted) {
						t.Fatalf("engine %v is ordered from %v to %v", o.Engine.ID, o.Engine.Version, w.wanted)
					}
					if o.Action == engine.ActionSwitch && o.Engine.Fetched.Less(w.wanted) {
						t.Fatalf("engine %s is ordered to switch to weights that it has not fetched", o.Engine.ID)
					}
					if _, ok := w.inFlight[o.Engine.ID]; ok {
						t.Fatalf("engine %s has two orders", o.Engine.ID)
					}
					w.inFlight[o.Engine.ID] = o.Action
					pending = append(pending, o)
				}
				fetches, switches := 0, 0
				for _, a := range w.inFlight {
					if a == engine.ActionFetch {
						fetches++
					} else {
						switches++
					}
				}
				if fetches > 2 || switches > 2 {
					t.Fatalf("%d fetches and %d switches at once", fetches, switches)
				}
			},
			"end": func(t *rapid.T) {
				if len(pending) == 0 {
					return
				}
				w.carryOut(pending[0], rapid.SampledFrom([]string{"done", "lost"}).Draw(t, "fate"))
				pending = pending[1:]
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")
				w.engines[i].Version = version.Version{}
				w.engines[i].Fetched = version.Version{}
			},
		})
		for _, o := range pending {
			w.carryOut(o, "lost")
		}
		for range 4 * len(w.engines) {
			for _, o := range w.plan() {
				w.carryOut(o, "done")
			}
		}
		for _, e := range w.engines {
			if e.Version != w.wanted {
				t.Fatalf("engine %s stays at %v, wanted %v", e.ID, e.Version, w.wanted)
			}
		}
	})
}

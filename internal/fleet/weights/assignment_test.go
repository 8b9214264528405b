package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// newTestOrderer returns an Orderer for a service with 50 engines and three models.
func newTestOrderer() (*Orderer, *timer.Manual) {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	o := &Orderer{
		Upstreams: &catalog.Upstreams{
			Timer: clock,
		},
		Config: &catalog.Holder{},
		Timer:  clock,
	}
	o.Config.Update(catalog.Configuration{
		Version: 1,
		Services: map[string]catalog.Service{
			"s": {Engine: &catalog.Engine{Models: []string{"m0", "m1", "m2"}}},
		},
	}.WithIndex())
	var list []catalog.Entry
	for n := range 50 {
		list = append(list, catalog.Entry{
			ID:       fmt.Sprintf("e%02d", n),
			Service:  "s",
			Slots:    6,
			Versions: map[string]uint64{"m0": 1, "m1": 1, "m2": 1},
		})
	}
	o.Upstreams.Update(list, nil)
	return o, clock
}

// setSizes returns the number of engines assigned to each model.
func setSizes(assignment map[string]string) map[string]int {
	sizes := make(map[string]int)
	for _, model := range assignment {
		sizes[model]++
	}
	return sizes
}

// Guards against instances that each use all engines for the first step of their own trainer
// when these steps begin at the same moment.
func TestInstancesAgreeOnAssignmentWithoutExchange(t *testing.T) {
	is := is.New(t)
	assignments := make([]map[string]string, 3)
	for i := range assignments {
		o, _ := newTestOrderer()
		o.StepRequested(fmt.Sprintf("m%d", i), 10, 1000) // each instance knows only of its own step
		assignments[i] = o.ModelsByEngine("s", false)
	}
	is.Equal(setSizes(assignments[0])["m0"]+setSizes(assignments[0])["m1"]+setSizes(assignments[0])["m2"], 50)
	for i := range assignments {
		is.Equal(assignments[i], assignments[0]) // all compute the same assignment
	}
}

// Guards against engines that stay assigned to models whose trainers have stopped.
func TestIdleModelsReleaseEngines(t *testing.T) {
	is := is.New(t)
	o, clock := newTestOrderer()
	is.Equal(len(o.ModelsByEngine("s", true)), 0)
	o.StepRequested("m0", 10, 1000)
	clock.Advance(assignmentTTL)
	is.Equal(len(o.ModelsByEngine("s", true)), 0)
	o.StepRequested("m1", 10, 3000)
	clock.Advance(assignmentTTL)
	sizes := setSizes(o.ModelsByEngine("s", true))
	is.Equal(sizes["m2"], 0)
	is.True(sizes["m1"] > sizes["m0"]) // half of the engines are divided by work
	clock.Advance(activeWindow)
	is.Equal(len(o.ModelsByEngine("s", true)), 0)
	is.Equal(len(o.ModelsByEngine("other", true)), 0)
}

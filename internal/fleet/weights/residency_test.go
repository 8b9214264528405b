package weights

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// newRegionOrderer returns an orderer with engines in the given regions, one model for each list
// of regions, and a route for each model.
func newRegionOrderer(engines []string, lists [][]string) *Orderer {
	upstreams := &catalog.Upstreams{Timer: timer.Real{}}
	var entries []catalog.Entry
	for i, region := range engines {
		entries = append(entries, catalog.Entry{ID: fmt.Sprintf("e%02d", i), Service: "s", Slots: 4, Region: region})
	}
	upstreams.Update(entries, nil)
	cfg := catalog.Configuration{Version: 1}
	var models []string
	o := &Orderer{Upstreams: upstreams, Config: &catalog.Holder{}, Timer: timer.Real{}}
	for i, list := range lists {
		model := fmt.Sprint("m", i)
		models = append(models, model)
		cfg.Routes = append(cfg.Routes, catalog.Route{
			Host: model, Prefix: "/", Regions: residency.FromList(list),
			Split: []catalog.WeightedService{{Service: "s", Weight: 1}},
		})
		o.StepSubmitted(model, model, "/")
	}
	cfg.Services = map[string]catalog.Service{"s": {Engine: &catalog.Engine{Models: models}}}
	o.Config.Update(cfg.WithIndex())
	return o
}

// Guards against engines that are given to a model in a region that its route does not allow, and
// against a model without engines while its regions have enough.
func TestModelsGetEnginesInTheirRegions(t *testing.T) {
	lists := [][]string{nil, {}, {"north"}, {"south"}, {"north", "south"}}
	property.CheckN(t, 300, func(t *rapid.T) {
		engines := rapid.SliceOfN(rapid.SampledFrom([]string{"north", "south", ""}), 1, 30).Draw(t, "engines")
		drawn := rapid.SliceOfN(rapid.SampledFrom(lists), 2, 4).Draw(t, "regions")
		o := newRegionOrderer(engines, drawn)
		sizes := make(map[string]int)
		eligible := make(map[string]int)
		for id, model := range o.ModelsByEngine("s", false) {
			sizes[model]++
			var at, of int
			_, _ = fmt.Sscanf(id+" "+model, "e%d m%d", &at, &of)
			if !residency.FromList(drawn[of]).Allows(engines[at]) {
				t.Fatalf("an engine in %q for a model that is allowed in %v", engines[at], drawn[of])
			}
		}
		for i, list := range drawn {
			model := fmt.Sprint("m", i)
			for _, region := range engines {
				if residency.FromList(list).Allows(region) {
					eligible[model]++
				}
			}
			if eligible[model] >= 2*len(drawn) && sizes[model] == 0 {
				t.Fatalf("no engine for a model that is allowed in %v, of %v", list, engines)
			}
		}
	})
}

// Guards against a model that gets less than its share because others take engines in its only
// region, while theirs may be anywhere.
func TestModelOfOneRegionGetsItsShare(t *testing.T) {
	is := is.New(t)
	var engines []string
	for range 10 {
		engines = append(engines, "north", "south")
	}
	o := newRegionOrderer(engines, [][]string{{"north"}, nil})
	sizes := make(map[string]int)
	for _, model := range o.ModelsByEngine("s", false) {
		sizes[model]++
	}
	is.Equal(sizes, map[string]int{"m0": 10, "m1": 10})
}

package weights

import (
	"maps"
	"slices"
	"strings"

	"github.com/egretbend/egretbend/internal/route/residency"
)

// origin is the host and path to which a step was submitted, which select its route.
type origin struct{ host, path string }

// StepSubmitted records the host and path to which a step of a model was submitted. The regions
// of their route are those of the model's engines.
func (o *Orderer) StepSubmitted(model, host, path string) {
	if host == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.origins == nil {
		o.origins = make(map[string]origin)
	}
	o.origins[model] = origin{
		host: host,
		path: path,
	}
}

// modelRegions returns the regions of each model, or nil if none is restricted. The regions of a
// model without a known step are those of all routes to the service. The caller holds o.mu.
func (o *Orderer) modelRegions(service string, models []string) map[string]residency.Regions {
	if o.Config == nil || !o.Config.Current().Restricted() {
		return nil
	}
	cfg := o.Config.Current()
	restricted := false
	regions := make(map[string]residency.Regions, len(models))
	for _, m := range models {
		regions[m] = cfg.ServiceRegions(service)
		if at, ok := o.origins[m]; ok {
			regions[m] = cfg.RequestRegions(at.host, at.path, "", regions[m])
		}
		restricted = restricted || regions[m].Restricted()
	}
	if !restricted {
		return nil
	}
	return regions
}

// engineClass is a set of engines that are in the regions of the same models.
type engineClass struct {
	engines []Engine
	models  []string
	// shares holds the fraction of the engines for each model.
	shares map[string]float64
}

// classify returns the classes of the engines in an order that is the same in all instances.
// Engines that are in the regions of no model are left out.
func classify(engines []Engine, models []string, regions map[string]residency.Regions) []*engineClass {
	byModels := make(map[string]*engineClass)
	for _, e := range engines {
		var allowed []string
		for _, m := range models {
			if regions[m].Allows(e.Region) {
				allowed = append(allowed, m)
			}
		}
		if len(allowed) == 0 {
			continue
		}
		key := strings.Join(allowed, "\x00")
		if byModels[key] == nil {
			byModels[key] = &engineClass{
				models: allowed,
			}
		}
		byModels[key].engines = append(byModels[key].engines, e)
	}
	classes := make([]*engineClass, 0, len(byModels))
	for _, key := range slices.Sorted(maps.Keys(byModels)) {
		classes = append(classes, byModels[key])
	}
	return classes
}

const (
	// balanceRounds is how often balance adjusts the weights of the models. With more, the
	// result changes by less than an engine in a fleet of a thousand.
	balanceRounds = 60
	// maxWeight limits the weights of models that can't get their share in their regions.
	maxWeight = 1e9
	// minClassEngines is the smallest number of engines of a class that a model gets; a smaller
	// part is left to the other models of the class.
	minClassEngines = 0.5
)

// balance sets the shares of the models in each class so that each model gets as close to its
// share of all engines as its regions allow. A model that may run in few regions gets more of
// the engines there, and the others get theirs elsewhere.
func balance(classes []*engineClass, models []string, shares map[string]float64) {
	total := 0
	for _, c := range classes {
		total += len(c.engines)
	}
	weights := make(map[string]float64, len(models))
	for _, m := range models {
		weights[m] = max(shares[m], 1/maxWeight)
	}
	for range balanceRounds {
		got := make(map[string]float64, len(models))
		for _, c := range classes {
			c.weigh(weights)
			for _, m := range c.models {
				got[m] += c.shares[m] * float64(len(c.engines))
			}
		}
		for _, m := range models {
			if got[m] > 0 {
				w := weights[m] * shares[m] * float64(total) / got[m]
				weights[m] = min(max(w, 1/maxWeight), maxWeight)
			}
		}
	}
	largest := make(map[string]*engineClass, len(models))
	for _, c := range classes {
		c.weigh(weights)
		for _, m := range c.models {
			if l := largest[m]; l == nil || c.part(m) > l.part(m) {
				largest[m] = c
			}
		}
	}
	for _, c := range classes {
		c.models = slices.DeleteFunc(c.models, func(m string) bool { return c.part(m) < minClassEngines && largest[m] != c })
		c.weigh(weights)
	}
}

// part returns how many engines of the class the share of a model is.
func (c *engineClass) part(model string) float64 { return c.shares[model] * float64(len(c.engines)) }

// weigh sets the shares in proportion to weights.
func (c *engineClass) weigh(weights map[string]float64) {
	sum := 0.0
	for _, m := range c.models {
		sum += weights[m]
	}
	c.shares = make(map[string]float64, len(c.models))
	for _, m := range c.models {
		c.shares[m] = weights[m] / sum
	}
}

// assignInRegions divides engines among models by shares, so that each model gets engines in its
// regions only. assign divides the engines of one class.
func assignInRegions(engines []Engine, models []string, shares map[string]float64, regions map[string]residency.Regions,
	assign func([]Engine, []string, map[string]float64) map[string]string) map[string]string {
	classes := classify(engines, models, regions)
	balance(classes, models, shares)
	modelOf := make(map[string]string, len(engines))
	for _, c := range classes {
		maps.Copy(modelOf, assign(c.engines, c.models, c.shares))
	}
	return modelOf
}

package capacity

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// stepLifetime is how long a step counts towards the demand after it was requested. The
// engines of a trainer that pauses for longer are given back.
const stepLifetime = time.Minute

// Demand keeps the sizes of recently requested steps by model. Its zero value is ready to
// use.
type Demand struct {
	mu    sync.Mutex
	steps map[string]map[Origin][]step
}

// Origin is what determines the regions of a step. It is empty if they are not known.
type Origin struct{ Host, Path, Organisation string }

// step is the size of a requested step and the time of the request.
type step struct {
	items int
	at    timer.Instant
}

// RecordStep records that a step of a model was requested.
func (d *Demand) RecordStep(model string, origin Origin, items int, now timer.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.steps == nil {
		d.steps = make(map[string]map[Origin][]step)
	}
	if d.steps[model] == nil {
		d.steps[model] = make(map[Origin][]step)
	}
	d.dropOld(model, now)
	// Earlier steps of the same size or smaller can no longer be the largest one.
	kept := d.steps[model][origin]
	for len(kept) > 0 && kept[len(kept)-1].items <= items {
		kept = kept[:len(kept)-1]
	}
	d.steps[model][origin] = append(kept, step{
		items: items,
		at:    now,
	})
}

// dropOld drops the steps of a model that no longer count. d.mu is held.
func (d *Demand) dropOld(model string, now timer.Instant) {
	for origin, steps := range d.steps[model] {
		for len(steps) > 0 && now.Sub(steps[0].at) > stepLifetime {
			steps = steps[1:]
		}
		if len(steps) == 0 {
			delete(d.steps[model], origin)
			continue
		}
		d.steps[model][origin] = steps
	}
}

// Work returns the total number of items in the largest recent step of each of the models, and
// the part of them that may run only in some regions. A model whose steps have different regions
// counts once for each.
func (d *Demand) Work(models []string, regionsOf func(Origin) residency.Regions, now timer.Instant) (items int, restricted []Work) {
	d.mu.Lock()
	defer d.mu.Unlock()
	byRegions := make(map[string]Work)
	for _, m := range models {
		d.dropOld(m, now)
		largest := make(map[string]Work)
		for origin, steps := range d.steps[m] {
			w := Work{
				Items:   steps[0].items,
				Regions: regionsOf(origin),
			}
			if key := keyOf(w.Regions); w.Items > largest[key].Items {
				largest[key] = w
			}
		}
		for key, w := range largest {
			items += w.Items
			w.Items += byRegions[key].Items
			byRegions[key] = w
		}
	}
	for _, key := range slices.Sorted(maps.Keys(byRegions)) {
		if w := byRegions[key]; w.Regions.Restricted() {
			restricted = append(restricted, w)
		}
	}
	return items, restricted
}

// keyOf returns a text that is the same for equal regions.
func keyOf(r residency.Regions) string {
	if !r.Restricted() {
		return "all"
	}
	return "\x00" + r.Key()
}

package capacity

import (
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// stepLifetime is how long a step counts towards the demand after it was requested. The
// engines of a trainer that pauses for longer are given back.
const stepLifetime = time.Minute

// Demand keeps the sizes of recently requested steps by model. Its zero value is ready to
// use.
type Demand struct {
	mu    sync.Mutex
	steps map[string][]step
}

// step is the size of a requested step and the time of the request.
type step struct {
	items int
	at    timer.Instant
}

// RecordStep records that a step of a model was requested.
func (d *Demand) RecordStep(model string, items int, now timer.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.steps == nil {
		d.steps = make(map[string][]step)
	}
	// Earlier steps of the same size or smaller can no longer be the largest one.
	kept := d.steps[model]
	for len(kept) > 0 && kept[len(kept)-1].items <= items {
		kept = kept[:len(kept)-1]
	}
	d.steps[model] = append(kept, step{
		items: items,
		at:    now,
	})
}

// Items returns the total number of items in the largest recent step of each of the
// models.
func (d *Demand) Items(models []string, now timer.Instant) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	items := 0
	for _, m := range models {
		steps := d.steps[m]
		for len(steps) > 0 && now.Sub(steps[0].at) > stepLifetime {
			steps = steps[1:]
		}
		if len(steps) > 0 {
			d.steps[m] = steps
			items += steps[0].items
		}
	}
	return items
}

package capacity

import (
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// remembered is how long a step counts after it was asked for. A trainer that stands
// still for longer finds its engines given back.
const remembered = time.Minute

// Demand remembers the largest steps of late. Its zero value works.
type Demand struct {
	mu    sync.Mutex
	steps map[string][]step
}

type step struct {
	items int
	at    timer.Instant
}

// Asked tells of a step of a model.
func (d *Demand) Asked(model string, items int, now timer.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.steps == nil {
		d.steps = make(map[string][]step)
	}
	// Smaller ones that were asked for earlier never count again.
	kept := d.steps[model]
	for len(kept) > 0 && kept[len(kept)-1].items <= items {
		kept = kept[:len(kept)-1]
	}
	d.steps[model] = append(kept, step{
		items: items,
		at:    now,
	})
}

// Work returns how many items the largest steps of some models have together.
func (d *Demand) Work(models []string, now timer.Instant) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	work := 0
	for _, m := range models {
		steps := d.steps[m]
		for len(steps) > 0 && now.Sub(steps[0].at) > remembered {
			steps = steps[1:]
		}
		if len(steps) > 0 {
			d.steps[m] = steps
			work += steps[0].items
		}
	}
	return work
}

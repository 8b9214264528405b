package runner

import (
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// When an item that loses its engines is put off.
const (
	// freeLosses is how many engines in a row may be lost under an item, without an event
	// of it, before it is put off: so many are lost by chance.
	freeLosses = 3
	// putOffFirst is how long it waits then. Each further loss doubles that up to
	// putOffMost, which is still short against the time of a step.
	putOffFirst = 500 * time.Millisecond
	putOffMost  = 4 * time.Second
)

// setback is how often an item lost its engine in a row. An item may be what ends them: it
// would go to the next one as fast as they come back. Its zero value holds nothing back.
type setback struct {
	losses int
	until  timer.Instant
}

// lost notes that an engine was lost under the item without an event of it.
func (s *setback) lost(now timer.Instant) {
	s.losses++
	if s.losses <= freeLosses {
		return
	}
	wait := putOffFirst << min(s.losses-freeLosses-1, 10)
	s.until = now.Add(min(wait, putOffMost))
}

// gotOn notes an event of the item.
func (s *setback) gotOn() { *s = setback{} }

// ready reports whether the item may begin.
func (s *setback) ready(now timer.Instant) bool { return now >= s.until }

// next returns the place in the queue of the item that begins next, or -1 if there is
// none. The lock is held.
func (b *Batch) next(now timer.Instant) int {
	return slices.IndexFunc(b.queue, func(t *task) bool { return t.setback.ready(now) })
}

package runner

import (
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// The limits of the delay of an item that keeps losing its engines.
const (
	// toleratedLosses is how many engines in a row an item may lose before it is
	// delayed. An engine counts as lost if its response broke off before any event
	// of the item. That many engines can be lost by chance.
	toleratedLosses = 3
	// initialBackoff is the first delay. Each further loss doubles it up to
	// maxBackoff, which is still short compared with the time of a step.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// backoff counts how many engines in a row an item has lost, and delays the item.
// The item itself may crash the engines; without a delay it would crash one after
// the other as fast as they come back. Its zero value delays nothing.
type backoff struct {
	losses int
	until  timer.Instant
}

// engineLost records that an engine's response broke off before any event of the
// item.
func (b *backoff) engineLost(now timer.Instant) {
	b.losses++
	if b.losses <= toleratedLosses {
		return
	}
	wait := initialBackoff << min(b.losses-toleratedLosses-1, 10)
	b.until = now.Add(min(wait, maxBackoff))
}

// reset ends the delay after an event of the item.
func (b *backoff) reset() { *b = backoff{} }

// ready reports whether the item may start.
func (b *backoff) ready(now timer.Instant) bool { return now >= b.until }

// nextReady returns the index in the queue of the item that starts next, or -1 if
// there is none. The caller holds b.mu.
func (b *Batch) nextReady(now timer.Instant) int {
	return slices.IndexFunc(b.queue, func(t *task) bool { return t.backoff.ready(now) })
}

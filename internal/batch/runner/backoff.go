package runner

import (
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// The limits of the delay of an item that keeps losing its engines.
const (
	// toleratedLosses is how many engines in a row may be lost under an item,
	// without an event of it, before it is delayed: so many may be lost by
	// chance.
	toleratedLosses = 3
	// initialBackoff is the first delay. Each further loss doubles it up to
	// maxBackoff, which is still short compared with the time of a step.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// backoff counts how often an item has lost its engine in a row, and delays it.
// The item itself may crash the engines: it would go to the next one as fast as
// they come back. Its zero value delays nothing.
type backoff struct {
	losses int
	until  timer.Instant
}

// engineLost records that an engine was lost under the item without an event of
// it.
func (s *backoff) engineLost(now timer.Instant) {
	s.losses++
	if s.losses <= toleratedLosses {
		return
	}
	wait := initialBackoff << min(s.losses-toleratedLosses-1, 10)
	s.until = now.Add(min(wait, maxBackoff))
}

// reset ends the delay after an event of the item.
func (s *backoff) reset() { *s = backoff{} }

// ready reports whether the item may start.
func (s *backoff) ready(now timer.Instant) bool { return now >= s.until }

// nextReady returns the index in the queue of the item that starts next, or -1 if
// there is none. The caller holds b.mu.
func (b *Batch) nextReady(now timer.Instant) int {
	return slices.IndexFunc(b.queue, func(t *task) bool { return t.backoff.ready(now) })
}

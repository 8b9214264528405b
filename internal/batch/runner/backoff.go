package runner

import (
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/schedule"
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

// backoff counts how many engines in a row an item has lost, and how many have refused it,
// and delays the item. The item itself may crash the engines; without a delay it would crash
// one after the other as fast as they come back. Its zero value delays nothing.
type backoff struct {
	losses   int
	refusals int
	until    timer.Instant
	// tooLarge says that an engine refused the item and that no engine can hold it; it
	// starts after all other items.
	tooLarge bool
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

// refused records that an engine refused the item, and returns the delay. While engines
// refuse other items as well, as when all of them load weights, accepting is false and the
// delay doesn't grow: the items must start as soon as the engines accept them again.
func (b *backoff) refused(tooLarge, accepting bool, now timer.Instant) time.Duration {
	if accepting || b.refusals == 0 {
		b.refusals++
	}
	b.tooLarge = tooLarge
	delay := schedule.RefusalDelay(b.refusals, tooLarge)
	b.until = max(b.until, now.Add(delay))
	return delay
}

// reset ends the delay after an event of the item.
func (b *backoff) reset() { *b = backoff{} }

// ready reports whether the item may start.
func (b *backoff) ready(now timer.Instant) bool { return now >= b.until }

// nextReady returns the index in the queue of the item that starts next, or -1 if
// there is none. Items that no engine can hold come last. The caller holds b.mu.
func (b *Batch) nextReady(now timer.Instant) int { return b.nextReadyExcept(now, nil) }

// nextReadyExcept is nextReady without some items. The caller holds b.mu.
func (b *Batch) nextReadyExcept(now timer.Instant, except map[*task]bool) int {
	last := -1
	for i, t := range b.queue {
		if except[t] || !t.backoff.ready(now) {
			continue
		}
		if !t.backoff.tooLarge {
			return i
		}
		if last < 0 {
			last = i
		}
	}
	return last
}

// itemsTooLarge returns the number of unfinished items that engines refused and that no
// engine can hold. The caller holds b.mu.
func (b *Batch) itemsTooLarge() int {
	n := 0
	for _, t := range b.queue {
		if t.backoff.tooLarge {
			n++
		}
	}
	return n
}

// itemsWaitingForMemory returns the number of items that wait for memory. The caller holds
// b.mu.
func (b *Batch) itemsWaitingForMemory() int {
	n := 0
	for _, t := range b.queue {
		if t.memoryWaitSince != 0 {
			n++
		}
	}
	return n
}

// itemRefused delays an item that an engine refused. The caller holds b.mu.
func (r *Runner) itemRefused(b *Batch, t *task, now timer.Instant) {
	wasTooLarge := t.backoff.tooLarge
	accepting := b.acceptedAt > t.refusedAt
	t.refusedAt = now
	delay := t.backoff.refused(r.tooLarge(b, t), accepting, now)
	if t.backoff.tooLarge && !wasTooLarge {
		r.Journal.Decision("hold_back", log.Fields{
			"request_id": t.item.ID,
			"batch":      b.sub.ID,
			"why":        "too_large",
			"tokens":     t.largestMemory(),
			"memory":     r.engineMemory(b.service),
			"delay_ms":   delay.Milliseconds(),
		})
	}
}

// tooLarge reports whether no engine of the batch's service can hold an item.
func (r *Runner) tooLarge(b *Batch, t *task) bool {
	return schedule.TooLarge(t.largestMemory(), r.engineMemory(b.service))
}

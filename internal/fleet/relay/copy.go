package relay

import (
	"slices"
	"sync"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// keptChanges is how many changes a copy remembers: some seconds of the busiest
// times. Who is further behind takes the whole prefix.
const keptChanges = 256

// Copy holds a prefix and its last changes, for those who ask this instance.
type Copy struct {
	mu       sync.Mutex
	items    map[string]keyvalue.Item
	changes  []keyvalue.Change
	begun    bool
	reaches  uint64
	revision uint64
	changed  chan struct{}
	// confirmed is the revision of the item that was current at an instant.
	confirmed   uint64
	confirmedAt timer.Instant
}

// Take applies changes that were seen up to a revision.
func (c *Copy) Take(changes []keyvalue.Change, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep(changes)
	if !c.begun {
		c.begun = true
		c.reaches = revision
		changes = nil
	}
	c.changes = append(c.changes, changes...)
	if over := len(c.changes) - keptChanges; over > 0 {
		c.reaches = c.changes[over-1].Revision
		c.changes = slices.Delete(c.changes, 0, over)
	}
	c.revision = max(c.revision, revision)
	if len(changes) > 0 {
		c.wake()
	}
}

// keep applies changes to the items. The lock is held.
func (c *Copy) keep(changes []keyvalue.Change) {
	if c.items == nil {
		c.items = make(map[string]keyvalue.Item)
	}
	for _, change := range changes {
		if change.Removed {
			delete(c.items, change.Key)
			continue
		}
		c.items[change.Key] = change.Item
	}
}

// listing returns the whole prefix as far as it is known here; ok is false
// before it was read.
func (c *Copy) listing() (l keyvalue.Listing, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.Revision = c.revision
	for _, item := range c.items {
		l.Items = append(l.Items, item)
	}
	return l, c.begun
}

// Confirm notes that the newest item, of a revision, was current at an instant.
func (c *Copy) Confirm(at timer.Instant, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at > c.confirmedAt {
		c.confirmed = revision
		c.confirmedAt = at
	}
}

// current returns the revision that was current last and when, or zeros.
func (c *Copy) current() (revision uint64, at timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed, c.confirmedAt
}

// wake wakes all who wait. The lock is held.
func (c *Copy) wake() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Turn wakes all who wait: this instance no longer hears the service.
func (c *Copy) Turn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake()
}

// since returns the changes after a revision, and a channel that is closed at
// the next one. ok is false when the copy does not reach back that far.
func (c *Copy) since(after uint64) (changes []keyvalue.Change, revision uint64, next <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	if !c.begun || after < c.reaches {
		return nil, c.revision, c.changed, false
	}
	for _, change := range c.changes {
		if change.Revision > after {
			changes = append(changes, change)
		}
	}
	return changes, max(c.revision, after), c.changed, true
}

package watchrelay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

const (
	// maxKeptChanges is the number of changes that a copy keeps: those of some seconds
	// at the busiest times. A follower that is further behind lists the whole prefix.
	maxKeptChanges = 256
	// keptShare is the share 1/keptShare of its items that a larger copy keeps as changes. If each
	// of 9,000 engines loads weights every 4 s, that is two seconds, more than twice the time
	// between two queries of a follower; with 256 changes each follower would list all
	// upstreams at each query.
	keptShare = 2
)

// Copy holds the items below a prefix and their last changes, from which this
// instance answers the queries of others.
type Copy struct {
	// Wanted reports whether this instance may have to answer queries; while it is false, nothing
	// is kept. Nil means always.
	Wanted func() bool
	// Bound is the time within which this instance must know a change although its watch of the
	// service hears nothing. Zero means that such a watch ends by its own timeout.
	Bound time.Duration

	mu sync.Mutex
	// dropped is set while nothing is kept, and reloading while the next call of Apply holds the
	// whole prefix again.
	dropped   bool
	reloading bool
	items     map[string]keyvalue.Item
	changes   []keyvalue.Change
	// loaded is set once the whole prefix was read.
	loaded bool
	// completeAfter is the revision after which changes holds every change.
	completeAfter uint64
	revision      uint64
	// nextChange is closed at the next change; nil if no query came since the last.
	nextChange chan struct{}
	// confirmedRevision is the revision of the newest item at confirmedAt.
	confirmedRevision uint64
	confirmedAt       timer.Instant
}

// Apply applies changes. revision is the one up to which all changes are known. The
// first call must hold the whole prefix, and so must the next one after NeedsReload
// returned true.
func (c *Copy) Apply(changes []keyvalue.Change, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Wanted != nil && !c.Wanted() {
		c.items, c.changes = nil, nil
		c.loaded, c.dropped, c.reloading = false, true, false
		return
	}
	if c.dropped && !c.reloading {
		return
	}
	c.dropped, c.reloading = false, false
	changes = slices.DeleteFunc(slices.Clone(changes), c.known)
	c.applyToItems(changes)
	if !c.loaded {
		c.loaded = true
		c.completeAfter = revision
		// Pages after the first one may hold later changes. A follower that has the revision of the
		// first one lacks them, and they are known here when the service tells them again.
		changes = slices.DeleteFunc(changes, func(change keyvalue.Change) bool { return change.Revision <= revision })
	}
	c.changes = append(c.changes, changes...)
	if !slices.IsSortedFunc(c.changes, byRevision) {
		// The service tells what came before the changes of later pages.
		slices.SortStableFunc(c.changes, byRevision)
	}
	kept := max(maxKeptChanges, len(c.items)/keptShare)
	if over := len(c.changes) - kept; over > 0 {
		c.completeAfter = c.changes[over-1].Revision
		c.changes = slices.Delete(c.changes, 0, over)
	}
	if len(c.changes) > maxKeptChanges {
		for i := range c.changes {
			if c.superseded(c.changes[i]) {
				c.changes[i].Value = nil // is not sent any more
			}
		}
	}
	c.revision = max(c.revision, revision)
	if len(changes) > 0 {
		c.wake()
	}
}

// NeedsReload reports whether the copy was dropped and is wanted again, so that the next
// call of Apply must hold the whole prefix.
func (c *Copy) NeedsReload() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reloading = c.dropped && c.Wanted()
	return c.reloading
}

// applyToItems applies changes to the items. c.mu must be held.
func (c *Copy) applyToItems(changes []keyvalue.Change) {
	if c.items == nil {
		c.items = make(map[string]keyvalue.Item)
	}
	for _, change := range changes {
		if change.Removed {
			// A later page may have held the key as it was written again.
			if c.items[change.Key].Revision <= change.Revision {
				delete(c.items, change.Key)
			}
			continue
		}
		c.items[change.Key] = change.Item
	}
}

// byRevision orders changes as they were made.
func byRevision(x, y keyvalue.Change) int { return cmp.Compare(x.Revision, y.Revision) }

// known reports whether the copy holds the value that a change set, or a later one. c.mu must be
// held.
func (c *Copy) known(change keyvalue.Change) bool {
	item, ok := c.items[change.Key]
	return !change.Removed && ok && item.Revision >= change.Revision
}

// superseded reports whether a change set a value that a later change replaced. A removal is
// never superseded: what a key stood for has ended, even if the key was written again. c.mu must
// be held.
func (c *Copy) superseded(change keyvalue.Change) bool {
	item, ok := c.items[change.Key]
	return !change.Removed && ok && item.Revision > change.Revision
}

// listing returns the items of the copy; ok is false before the first Apply.
func (c *Copy) listing() (l keyvalue.Listing, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.Revision = c.revision
	for _, item := range c.items {
		l.Items = append(l.Items, item)
	}
	return l, c.loaded
}

// Confirm records that the newest item had the given revision at the given instant, and ends the
// waits of all queries: followers confirm by themselves if they don't learn of it soon.
func (c *Copy) Confirm(at timer.Instant, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at > c.confirmedAt {
		c.confirmedRevision = revision
		c.confirmedAt = at
		c.wake()
	}
}

// lastConfirmed returns the revision and the instant of the last confirmation, or
// zeros if there is none.
func (c *Copy) lastConfirmed() (revision uint64, at timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedRevision, c.confirmedAt
}

// wake ends the waits of all queries for this copy. c.mu must be held.
func (c *Copy) wake() {
	if c.nextChange != nil {
		close(c.nextChange)
		c.nextChange = nil
	}
}

// EndWaits ends the waits of all queries for this copy. It is called when the connection
// to the service is lost.
func (c *Copy) EndWaits() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake()
}

// changesAfter returns the last value of each key that was set after a revision and all
// removals after it, and a channel that is closed at the next change. ok is false if the
// copy does not reach back that far.
func (c *Copy) changesAfter(after uint64) (changes []keyvalue.Change, revision uint64, next <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextChange == nil {
		c.nextChange = make(chan struct{})
	}
	if !c.loaded || after < c.completeAfter {
		return nil, c.revision, c.nextChange, false
	}
	for _, change := range c.changes {
		if change.Revision > after && !c.superseded(change) {
			changes = append(changes, change)
		}
	}
	return changes, max(c.revision, after), c.nextChange, true
}

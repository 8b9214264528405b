package standby

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Limits of copies.
const (
	// maxCopies is how many batches are kept, of up to a megabyte each.
	maxCopies = 24
	// copyTTL is how long a copy is kept after its last renewal.
	copyTTL = time.Minute
)

// ErrGap means that events before those of a heartbeat are missing, so the owner has to
// send all of its batches again.
var ErrGap = errors.New("events before these are missing")

// Copy holds the results and texts of a batch that its owner may not have stored yet.
type Copy struct {
	Results  []submission.Result
	Progress []submission.Progress
}

// Copies holds copies of the batches of other instances, and the last heartbeat of each
// owner. Its zero value is empty.
type Copies struct {
	// Allowed reports whether a batch may be stored at this instance; nil means that all may.
	Allowed func(submission.Binding) bool

	mu      sync.Mutex
	batches map[string]*batchCopy
	owners  map[string]LastHeartbeat
}

// LastHeartbeat is the last heartbeat of an owner and when the owner was last known to be alive.
type LastHeartbeat struct {
	Heartbeat Heartbeat
	At        timer.Instant
}

// batchCopy is the copy of one batch.
type batchCopy struct {
	owner     ledger.Owner
	renewedAt timer.Instant
	binding   submission.Binding
	// refused says that the batch must not be stored here, so that nothing of it is kept.
	refused  bool
	results  map[string]submission.Result
	progress map[string]textCopy
}

// textCopy is the copy of an unfinished text.
type textCopy struct {
	// text identifies the text, as in ItemDelta.
	text     uint64
	progress submission.Progress
}

// Apply applies a heartbeat. It returns ErrGap if events before it are missing.
func (c *Copies) Apply(h Heartbeat, now timer.Instant) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.batches == nil {
		c.batches = make(map[string]*batchCopy)
		c.owners = make(map[string]LastHeartbeat)
	}
	deltas := h.Deltas
	h.Deltas = nil
	c.owners[h.Owner.Instance] = LastHeartbeat{
		Heartbeat: h,
		At:        now,
	}
	c.dropStale(h, now)
	for _, d := range deltas {
		held := c.batches[d.Batch]
		if d.Whole {
			held = &batchCopy{
				owner:    h.Owner,
				binding:  d.Binding,
				refused:  !c.allows(d.Binding),
				results:  make(map[string]submission.Result),
				progress: make(map[string]textCopy),
			}
			c.batches[d.Batch] = held
		}
		if held == nil || held.owner != h.Owner {
			return ErrGap
		}
		held.renewedAt = now
		if held.refused {
			continue
		}
		for _, p := range d.Pieces {
			if !held.apply(p) {
				delete(c.batches, d.Batch)
				return ErrGap
			}
		}
	}
	c.evictOldest()
	for _, id := range h.Open {
		held := c.batches[id]
		if held == nil || held.owner != h.Owner {
			return ErrGap
		}
		if held.refused && c.allows(held.binding) {
			delete(c.batches, id)
			return ErrGap
		}
	}
	return nil
}

// allows reports whether a batch may be stored here.
func (c *Copies) allows(b submission.Binding) bool { return c.Allowed == nil || c.Allowed(b) }

// DropDisallowed drops the copies of batches that may no longer be stored here.
func (c *Copies) DropDisallowed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, held := range c.batches {
		if !c.allows(held.binding) {
			held.refused = true
			held.results, held.progress = nil, nil
		}
	}
}

// dropStale drops the batches that the sender no longer runs, and copies older than copyTTL.
// Copies of an instance's previous incarnation stay, since the new incarnation fetches
// them. c.mu is held.
func (c *Copies) dropStale(h Heartbeat, now timer.Instant) {
	for id, held := range c.batches {
		switch {
		case held.owner == h.Owner && !slices.Contains(h.Open, id), now.Sub(held.renewedAt) > copyTTL:
			delete(c.batches, id)
		case held.owner == h.Owner:
			held.renewedAt = now
		}
	}
}

// evictOldest drops the copies with the oldest renewal until maxCopies are left. c.mu is
// held.
func (c *Copies) evictOldest() {
	for len(c.batches) > maxCopies {
		oldest := ""
		for id, held := range c.batches {
			if oldest == "" || held.renewedAt < c.batches[oldest].renewedAt {
				oldest = id
			}
		}
		delete(c.batches, oldest)
	}
}

// apply applies the changes of one item. It returns false if events before them are missing. Events
// of another text of the item, which its owner has dropped, count as missing.
func (c *batchCopy) apply(p ItemDelta) bool {
	var old []string
	if held := c.progress[p.Item]; held.text == p.Text {
		old = held.progress.Events
	}
	if p.From > len(old) {
		return false
	}
	events := append(old[:p.From:p.From], p.Events...)
	if p.Result == nil {
		c.progress[p.Item] = textCopy{
			text: p.Text,
			progress: submission.Progress{
				Item:     p.Item,
				Events:   events,
				Versions: p.Versions,
				Failures: p.Failures,
			},
		}
		return true
	}
	end := *p.Result
	if end.Text == "" {
		end.Text = submission.JoinEvents(events)
	}
	c.results[p.Item] = end
	delete(c.progress, p.Item)
	return true
}

// Find returns the copy of a batch.
func (c *Copies) Find(batch string) (Copy, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.batches[batch]
	if held == nil || held.refused {
		return Copy{}, false
	}
	var found Copy
	for _, r := range held.results {
		found.Results = append(found.Results, r)
	}
	for _, t := range held.progress {
		found.Progress = append(found.Progress, t.progress)
	}
	return found, true
}

// lastHeartbeats returns the last heartbeat of each owner.
func (c *Copies) lastHeartbeats() []LastHeartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]LastHeartbeat, 0, len(c.owners))
	for _, h := range c.owners {
		list = append(list, h)
	}
	return list
}

// forgetOwner stops watching one incarnation of an owner.
func (c *Copies) forgetOwner(o ledger.Owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owners[o.Instance].Heartbeat.Owner == o {
		delete(c.owners, o.Instance)
	}
}

// heardSince reports whether a heartbeat of an incarnation arrived after a time.
func (c *Copies) heardSince(o ledger.Owner, at timer.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.owners[o.Instance]
	return h.Heartbeat.Owner == o && h.At > at
}

// recordAnswer notes that an owner is alive although its heartbeats don't arrive.
func (c *Copies) recordAnswer(o ledger.Owner, now timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.owners[o.Instance]; h.Heartbeat.Owner == o {
		h.At = now
		c.owners[o.Instance] = h
	}
}

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

// The bounds of copies.
const (
	// mostCopies is how many batches are kept, of up to a megabyte each.
	mostCopies = 24
	// copyLasts is how long a copy is kept that nobody renews.
	copyLasts = time.Minute
)

// ErrGap means that events before those of a message are missing: the owner sends
// all of its batches again.
var ErrGap = errors.New("events before these are missing")

// Copy is what an owner had made of a batch and may not have stored yet.
type Copy struct {
	Results  []submission.Result
	Progress []submission.Progress
}

// Copies holds the batches of other instances, and when their owners were heard last.
// Its zero value is empty.
type Copies struct {
	mu      sync.Mutex
	batches map[string]*kept
	owners  map[string]Heard
}

// Heard is what is known of an owner by its heartbeats.
type Heard struct {
	Heartbeat Heartbeat
	At        timer.Instant
}

// kept is the copy of one batch.
type kept struct {
	owner   ledger.Owner
	at      timer.Instant
	results map[string]submission.Result
	texts   map[string]submission.Progress
}

// Take takes a heartbeat. It returns ErrGap if it does not follow what is held.
func (c *Copies) Take(b Heartbeat, now timer.Instant) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.batches == nil {
		c.batches = make(map[string]*kept)
		c.owners = make(map[string]Heard)
	}
	deltas := b.Deltas
	b.Deltas = nil
	c.owners[b.Owner.Instance] = Heard{
		Heartbeat: b,
		At:        now,
	}
	c.drop(b, now)
	for _, d := range deltas {
		k := c.batches[d.Batch]
		if d.Whole {
			k = &kept{
				owner:   b.Owner,
				results: make(map[string]submission.Result),
				texts:   make(map[string]submission.Progress),
			}
			c.batches[d.Batch] = k
		}
		if k == nil || k.owner != b.Owner {
			return ErrGap
		}
		k.at = now
		for _, p := range d.Pieces {
			if !k.add(p) {
				delete(c.batches, d.Batch)
				return ErrGap
			}
		}
	}
	c.bound()
	for _, id := range b.Open {
		if k := c.batches[id]; k == nil || k.owner != b.Owner {
			return ErrGap
		}
	}
	return nil
}

// drop forgets the batches that the sender runs no more, and old ones. A new life
// of an instance does not end what is held of the life before: it asks for that. The
// lock is held.
func (c *Copies) drop(b Heartbeat, now timer.Instant) {
	for id, k := range c.batches {
		switch {
		case k.owner == b.Owner && !slices.Contains(b.Open, id), now.Sub(k.at) > copyLasts:
			delete(c.batches, id)
		case k.owner == b.Owner:
			k.at = now
		}
	}
}

// bound drops the copies that were renewed longest ago beyond mostCopies. The lock
// is held.
func (c *Copies) bound() {
	for len(c.batches) > mostCopies {
		oldest := ""
		for id, k := range c.batches {
			if oldest == "" || k.at < c.batches[oldest].at {
				oldest = id
			}
		}
		delete(c.batches, oldest)
	}
}

// add takes what is new of an item. It reports false if events are missing.
func (k *kept) add(p Piece) bool {
	old := k.texts[p.Item].Events
	if p.From > len(old) {
		return false
	}
	events := append(old[:p.From:p.From], p.Events...)
	if p.Result == nil {
		k.texts[p.Item] = submission.Progress{
			Item:     p.Item,
			Events:   events,
			Versions: p.Versions,
			Failures: p.Failures,
		}
		return true
	}
	end := *p.Result
	if end.Text == "" {
		end.Text = submission.TextOf(events)
	}
	k.results[p.Item] = end
	delete(k.texts, p.Item)
	return true
}

// Find returns the copy of a batch.
func (c *Copies) Find(batch string) (Copy, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.batches[batch]
	if k == nil {
		return Copy{}, false
	}
	var found Copy
	for _, r := range k.results {
		found.Results = append(found.Results, r)
	}
	for _, p := range k.texts {
		found.Progress = append(found.Progress, p)
	}
	return found, true
}

// heard returns the owners that were heard, by instance.
func (c *Copies) heard() []Heard {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Heard, 0, len(c.owners))
	for _, h := range c.owners {
		list = append(list, h)
	}
	return list
}

// forget ends the watch over one life of an owner.
func (c *Copies) forget(o ledger.Owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owners[o.Instance].Heartbeat.Owner == o {
		delete(c.owners, o.Instance)
	}
}

// heardSince reports whether a heartbeat of a life came after a time.
func (c *Copies) heardSince(o ledger.Owner, at timer.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.owners[o.Instance]
	return h.Heartbeat.Owner == o && h.At > at
}

// answered notes that an owner lives though its heartbeats don't come.
func (c *Copies) answered(o ledger.Owner, now timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.owners[o.Instance]; h.Heartbeat.Owner == o {
		h.At = now
		c.owners[o.Instance] = h
	}
}

package evacuation

import (
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Tracker keeps the current Set and passes it on. Its methods may be called concurrently.
type Tracker struct {
	// OnChange is called with the evacuated domains when the set is first known, and after each
	// change.
	OnChange func(domains map[string]bool)
	// IsKnown reports whether an upstream or a setting names the domain.
	IsKnown func(domain string) bool
	// Load returns what this instance has in a domain.
	Load    func(domain string) catalog.DomainLoad
	Timer   timer.Service
	Journal *journal.Journal
	// Metrics may be nil.
	Metrics *Metrics

	mu    sync.Mutex
	set   Set
	known bool
	// unconfirmed holds the revisions of the evacuations of which only ApplyListing has told.
	unconfirmed map[string]uint64
}

// Apply applies changes in order of their revisions. The first call states the whole set.
func (t *Tracker) Apply(changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range changes {
		delete(t.unconfirmed, c.Domain)
	}
	t.apply(changes)
}

// ApplyListing applies the evacuations of a listing that was read beside the changes that Apply is
// called with.
func (t *Tracker) ApplyListing(listed []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unconfirmed == nil {
		t.unconfirmed = make(map[string]uint64)
	}
	for _, c := range listed {
		if c.Revision > t.set.revisions[c.Domain] {
			t.unconfirmed[c.Domain] = c.Revision
		}
	}
	t.apply(listed)
}

// Followed tells that Apply was called with all changes up to a revision. An evacuation that only
// ApplyListing told of has ended if it began before: the mirror of the keys has listed them
// after the key was removed, and reports no removal of a key that it never had.
func (t *Tracker) Followed(revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []Change
	for domain, began := range t.unconfirmed {
		if began < revision {
			delete(t.unconfirmed, domain)
			ended = append(ended, Change{
				Domain:   domain,
				Revision: revision,
				Removed:  true,
			})
		}
	}
	if len(ended) > 0 {
		t.apply(ended)
	}
}

// apply applies changes. The caller holds t.mu.
func (t *Tracker) apply(changes []Change) {
	t.logProblems(changes)
	next, events := t.set.Apply(changes, t.Timer.Now())
	if t.known && len(events) == 0 {
		t.set = next
		return
	}
	t.set, t.known = next, true
	t.OnChange(next.Domains())
	for _, e := range events {
		t.logEvent(e)
		t.Metrics.count(e)
	}
}

var (
	errNoDomain      = errors.New("the key names no failure domain")
	errUnknownDomain = errors.New("no upstream and no setting names the failure domain")
)

// logProblems logs the changes that an operator should correct.
func (t *Tracker) logProblems(changes []Change) {
	for _, c := range changes {
		fields := log.Fields{
			"domain":   c.Domain,
			"revision": c.Revision,
		}
		switch {
		case c.Revision <= t.set.revisions[c.Domain]: // known, and logged before
		case c.Domain == "":
			t.Journal.Warn("evacuation ignored", errNoDomain, fields)
		case c.Removed:
		case c.Invalid != nil:
			t.Journal.Warn("could not read the value of an evacuation, which is in force", c.Invalid, fields)
		}
	}
}

// logEvent logs that an evacuation began or ended. An unknown domain stays in the set, as
// upstreams may appear in it later.
func (t *Tracker) logEvent(e Event) {
	load, known := t.Load(e.Domain), t.IsKnown(e.Domain)
	fields := log.Fields{
		"domain":    e.Domain,
		"revision":  e.Revision,
		"known":     known,
		"upstreams": load.Upstreams,
		"in_flight": load.InFlight,
	}
	if e.Ended {
		fields["lasted_ms"] = e.At.Sub(e.Since).Milliseconds()
		t.Journal.Decision("evacuation_ended", fields)
		return
	}
	t.Journal.Decision("evacuate", fields)
	if !known {
		t.Journal.Warn("an unknown failure domain is evacuated", errUnknownDomain, log.Fields{
			"domain":   e.Domain,
			"revision": e.Revision,
		})
	}
}

// Status describes one evacuation for operators.
type Status struct {
	Domain   string `json:"domain"`
	Revision uint64 `json:"revision"`
	// ForMS is for how long this instance has known of it.
	ForMS int64 `json:"for_ms"`
	// Known reports whether an upstream or a setting names the domain.
	Known bool `json:"known"`
	// Upstreams is the number of upstreams in the domain, and InFlight the number of requests
	// of this instance that still run there.
	Upstreams int   `json:"upstreams"`
	InFlight  int64 `json:"in_flight"`
}

// Status returns the present evacuations, by name of their domain.
func (t *Tracker) Status() []Status {
	t.mu.Lock()
	set := t.set
	t.mu.Unlock()
	now := t.Timer.Now()
	list := []Status{}
	for _, e := range set.Evacuations() {
		load := t.Load(e.Domain)
		list = append(list, Status{
			Domain:    e.Domain,
			Revision:  e.Revision,
			ForMS:     now.Sub(e.Since).Milliseconds(),
			Known:     t.IsKnown(e.Domain),
			Upstreams: load.Upstreams,
			InFlight:  load.InFlight,
		})
	}
	return list
}

// For returns for how long this instance has known of the evacuation.
func (s Status) For() time.Duration { return time.Duration(s.ForMS) * time.Millisecond }

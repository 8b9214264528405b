package catalog

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// Entry is the entry of an upstream in the platform's list. It is immutable.
type Entry struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Region is the region of the failure domain; it is empty if the settings don't map the
	// failure domain to a region.
	Region  string
	Slots   int
	Leaving bool
	// ColdFor is how much longer the upstream is cold, counted from the receipt of the entry.
	// It is negative if the entry does not say so in a usable form.
	ColdFor time.Duration
	// Reclaimable reports whether the platform may take the upstream away at short notice.
	Reclaimable bool
	// Born distinguishes incarnations with the same ID.
	Born int64
	// Versions are the weight versions by model.
	Versions map[string]uint64
}

// Upstream is a listed upstream with its state.
type Upstream struct {
	*upstream.Upstream
	entry atomic.Pointer[Entry]
	// reservedTokens is the engine memory, in tokens, reserved for streams of this instance.
	reservedTokens atomic.Int64
	prompts        promptQueue
}

// Reserve reserves engine memory for a stream; a negative number releases it.
func (u *Upstream) Reserve(tokens int64) { u.reservedTokens.Add(tokens) }

// Reserved returns the engine memory reserved for streams of this instance, in tokens.
func (u *Upstream) Reserved() int64 { return u.reservedTokens.Load() }

// Listed returns the upstream's entry in the platform's list.
func (u *Upstream) Listed() *Entry { return u.entry.Load() }

// ModelVersion returns the weight version of a model according to the list.
func (u *Upstream) ModelVersion(model string) uint64 { return u.Listed().Versions[model] }

// Group holds the upstreams of one service. It is immutable, but the upstreams' state is not.
type Group struct {
	Upstreams []*Upstream
	// Set holds the same upstreams for the routing policies.
	Set *upstream.Set
}

// Find returns the upstream of the group with the given state, or nil.
func (g *Group) Find(u *upstream.Upstream) *Upstream {
	if i, found := g.Set.Find(u); found {
		return g.Upstreams[i]
	}
	return nil
}

// Upstreams holds all upstreams by ID. Its zero value is empty; Timer must be set before Update.
type Upstreams struct {
	Timer timer.Service

	mu   sync.Mutex
	byID map[string]*Upstream
	// shared holds what the upstreams of each service share.
	shared map[string]*upstream.Shared
	// stale holds the services whose group has to be rebuilt.
	stale  map[string]bool
	groups atomic.Pointer[map[string]*Group]
}

// Group returns the upstreams of a service; it is never nil.
func (b *Upstreams) Group(service string) *Group {
	if groups := b.groups.Load(); groups != nil {
		if g := (*groups)[service]; g != nil {
			return g
		}
	}
	return &Group{
		Set: &upstream.Set{},
	}
}

// Groups returns all groups by service. The map must not be changed.
func (b *Upstreams) Groups() map[string]*Group {
	if groups := b.groups.Load(); groups != nil {
		return *groups
	}
	return nil
}

// Update adds or replaces the given entries, and removes the upstreams with the IDs in gone.
func (b *Upstreams) Update(entries []Entry, gone []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID == nil {
		b.byID = make(map[string]*Upstream)
		b.shared = make(map[string]*upstream.Shared)
		b.stale = make(map[string]bool)
	}
	initial := len(b.byID) == 0
	for i := range entries {
		b.upsert(&entries[i], initial)
	}
	for _, id := range gone {
		if u := b.byID[id]; u != nil {
			u.MarkLeaving()
			delete(b.byID, id)
			b.stale[u.Listed().Service] = true
		}
	}
	if len(b.stale) > 0 || b.groups.Load() == nil {
		b.rebuildGroups(b.stale)
		clear(b.stale)
	}
}

// upsert adds or updates the upstream of an entry. If the address, Born or the service changed,
// it creates a new upstream, which takes over neither the counts nor the leaving mark. initial
// reports whether b was empty, in which case a new upstream skips the slow start. The
// caller holds b.mu.
func (b *Upstreams) upsert(entry *Entry, initial bool) {
	u := b.byID[entry.ID]
	if u != nil {
		old := u.Listed()
		if old.Address != entry.Address || old.Born != entry.Born || old.Service != entry.Service {
			u.MarkLeaving()
			b.stale[old.Service] = true
			u = nil
		} else if old.FailureDomain != entry.FailureDomain || old.Region != entry.Region {
			b.stale[entry.Service] = true
		}
	}
	if u == nil {
		u = &Upstream{
			Upstream: &upstream.Upstream{
				ID:            entry.ID,
				Address:       entry.Address,
				FailureDomain: entry.FailureDomain,
				Incarnation:   uint64(entry.Born),
				Slots:         entry.Slots,
				Shared:        b.sharedBy(entry.Service),
			},
		}
		b.stale[entry.Service] = true
		since := b.Timer.Now()
		if initial {
			since = since.Add(-time.Minute)
		}
		u.SetSlowStart(since)
		b.byID[entry.ID] = u
	}
	// The entry is copied, as entries that were decoded together would otherwise stay in memory as
	// long as one of them is in use. Its strings are those that the upstream has already.
	stored := *entry
	stored.ID, stored.Address = u.ID, u.Address
	u.entry.Store(&stored)
	if entry.Leaving {
		u.MarkLeaving()
	}
}

// sharedBy returns what the upstreams of a service share. The caller holds b.mu.
func (b *Upstreams) sharedBy(service string) *upstream.Shared {
	if b.shared[service] == nil {
		b.shared[service] = &upstream.Shared{}
	}
	return b.shared[service]
}

// rebuildGroups replaces the groups of some services after a change of b.byID, or all groups if
// services is nil. An entry that only changes other fields, as when weights are loaded, needs no
// new group. The caller holds b.mu.
func (b *Upstreams) rebuildGroups(services map[string]bool) {
	groups := make(map[string]*Group)
	for service, g := range b.Groups() {
		if services != nil && !services[service] {
			groups[service] = g
		}
	}
	for _, u := range b.byID {
		service := u.Listed().Service
		if services != nil && !services[service] {
			continue
		}
		if groups[service] == nil {
			groups[service] = &Group{}
		}
		groups[service].Upstreams = append(groups[service].Upstreams, u)
	}
	for service, g := range groups {
		if g.Set != nil {
			continue // unchanged
		}
		slices.SortFunc(g.Upstreams, func(x, y *Upstream) int { return strings.Compare(x.ID, y.ID) })
		g.Set = &upstream.Set{
			Total:     len(g.Upstreams),
			Upstreams: make([]*upstream.Upstream, 0, len(g.Upstreams)),
			Shared:    b.sharedBy(service),
		}
		for _, u := range g.Upstreams {
			g.Set.Upstreams = append(g.Set.Upstreams, u.Upstream)
		}
	}
	b.groups.Store(&groups)
}

// DetectOutliers updates the slowness of the upstreams of each service and limits how many are
// ejected.
func (b *Upstreams) DetectOutliers(now timer.Instant) {
	for _, g := range b.Groups() {
		g.Set.DetectOutliers(now)
	}
}

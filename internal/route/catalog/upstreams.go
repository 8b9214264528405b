package catalog

import (
	"slices"
	"sort"
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
	// returnedAt is when the evacuation of its failure domain last ended; 0 if it never was.
	returnedAt atomic.Int64
	// evacuated holds the evacuated failure domains; nil if the upstream is in no Upstreams.
	evacuated *atomic.Pointer[map[string]bool]
}

// Reserve reserves engine memory for a stream; a negative number releases it.
func (u *Upstream) Reserve(tokens int64) { u.reservedTokens.Add(tokens) }

// Reserved returns the engine memory reserved for streams of this instance, in tokens.
func (u *Upstream) Reserved() int64 { return u.reservedTokens.Load() }

// Listed returns the upstream's entry in the platform's list.
func (u *Upstream) Listed() *Entry { return u.entry.Load() }

// ModelVersion returns the weight version of a model according to the list.
func (u *Upstream) ModelVersion(model string) uint64 { return u.Listed().Versions[model] }

// Group holds the upstreams of one service that are not in an evacuated failure domain. It is
// immutable, but the upstreams' state is not.
type Group struct {
	Upstreams []*Upstream
	// EvacuatedDomains are the evacuated failure domains that have upstreams of the service.
	EvacuatedDomains []string
	// Set holds the same upstreams for the routing policies.
	Set *upstream.Set
}

// Upstreams holds all upstreams by ID. Its zero value is empty; Timer must be set before Update.
type Upstreams struct {
	Timer timer.Service
	// AwaitEvacuations keeps all groups empty until the first call of SetEvacuated: an instance
	// that has not read which failure domains are evacuated must not send anything.
	AwaitEvacuations bool
	// OnReturned is called with the upstreams of failure domains that are no longer evacuated,
	// before they can be chosen. It must not call methods of Upstreams that change it. It may be
	// nil.
	OnReturned func([]*Upstream)

	mu     sync.Mutex
	byID   map[string]*Upstream
	groups atomic.Pointer[map[string]*Group]
	// evacuated holds the evacuated failure domains; nil before the first SetEvacuated.
	evacuated atomic.Pointer[map[string]bool]
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
	}
	initial := len(b.byID) == 0
	for i := range entries {
		b.upsert(&entries[i], initial)
	}
	for _, id := range gone {
		if u := b.byID[id]; u != nil {
			u.MarkLeaving()
			delete(b.byID, id)
		}
	}
	b.rebuildGroups()
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
			u = nil
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
			},
			evacuated: &b.evacuated,
		}
		since := b.Timer.Now()
		if initial {
			since = since.Add(-time.Minute)
		}
		u.SetSlowStart(since)
		b.byID[entry.ID] = u
	}
	u.entry.Store(entry)
	if entry.Leaving {
		u.MarkLeaving()
	}
	b.applyEvacuation(u)
}

// rebuildGroups replaces the groups after a change of b.byID or of the evacuated failure
// domains. The caller holds b.mu.
func (b *Upstreams) rebuildGroups() {
	groups := make(map[string]*Group)
	for _, u := range b.byID {
		if b.AwaitEvacuations && !b.EvacuationsKnown() {
			break
		}
		l := u.Listed()
		g := groups[l.Service]
		if g == nil {
			g = &Group{}
			groups[l.Service] = g
		}
		if !u.Evacuated() {
			g.Upstreams = append(g.Upstreams, u)
		} else if !slices.Contains(g.EvacuatedDomains, l.FailureDomain) {
			g.EvacuatedDomains = append(g.EvacuatedDomains, l.FailureDomain)
		}
	}
	for _, g := range groups {
		sort.Strings(g.EvacuatedDomains)
		sort.Slice(g.Upstreams, func(i, j int) bool { return g.Upstreams[i].ID < g.Upstreams[j].ID })
		g.Set = &upstream.Set{
			Total: len(g.Upstreams),
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

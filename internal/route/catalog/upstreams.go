package catalog

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
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
	// listedAt is when the entry was received. coldAssumed says that the entry is the first one
	// of an incarnation that started while this instance ran, which counts as cold whatever the
	// entry says. Both are guarded by the lock of Upstreams.
	listedAt    timer.Instant
	coldAssumed bool
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
	// parts holds the results of In by the key of the regions.
	parts sync.Map
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
	// ShareWanted is set when a share for a cold upstream is wanted.
	ShareWanted wake.Signal
	// ConnectionLost is set when an upstream may have restarted because a connection to it was
	// lost or refused.
	ConnectionLost wake.Signal
	// OnBadColdness is called with an upstream whose entry has no usable figure for its
	// coldness; nil is not called.
	OnBadColdness func(id string, assumed time.Duration)

	// AwaitEvacuations keeps all groups empty until the first call of SetEvacuated: an instance
	// that has not read which failure domains are evacuated must not send anything.
	AwaitEvacuations bool
	// OnReturned is called with the upstreams of failure domains that are no longer evacuated,
	// before they can be chosen. It must not call methods of Upstreams that change it. It may be
	// nil.
	OnReturned func([]*Upstream)

	mu   sync.Mutex
	byID map[string]*Upstream
	// slowStart holds the slow start of the services that have one, and listed says that there
	// was a listing.
	slowStart map[string]time.Duration
	listed    bool
	// shared holds what the upstreams of each service share.
	shared map[string]*upstream.Shared
	// stale holds the services whose group has to be rebuilt.
	stale  map[string]bool
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

// Entries returns the entries of all listed upstreams, also of those in evacuated failure domains.
func (b *Upstreams) Entries() []*Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := make([]*Entry, 0, len(b.byID))
	for _, u := range b.byID {
		entries = append(entries, u.Listed())
	}
	return entries
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
	b.listed = true
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
			evacuated: &b.evacuated,
		}
		b.stale[entry.Service] = true
		since := b.Timer.Now()
		if initial {
			since = since.Add(-time.Minute)
		}
		u.SetSlowStart(since)
		u.SetColdSignals(&b.ShareWanted, &b.ConnectionLost)
		u.coldAssumed = b.listed
		b.byID[entry.ID] = u
	} else {
		u.coldAssumed = false
	}
	// The entry is copied, as entries that were decoded together would otherwise stay in memory as
	// long as one of them is in use. Its strings are those that the upstream has already.
	stored := *entry
	stored.ID, stored.Address = u.ID, u.Address
	u.entry.Store(&stored)
	u.listedAt = b.Timer.Now()
	if coldStart, ok := b.slowStart[entry.Service]; ok {
		b.applyColdness(u, coldStart)
	}
	if entry.Leaving {
		u.MarkLeaving()
	}
	b.applyEvacuation(u)
}

// entryDelay is how long after it was written an entry may be received: changes are coalesced
// and may pass through another instance. An entry that was received within this time after other
// news may be older.
const entryDelay = 3 * time.Second

// applyColdness updates the coldness of an upstream by its entry. The caller holds b.mu.
func (b *Upstreams) applyColdness(u *Upstream, coldStart time.Duration) {
	left := u.Listed().ColdFor
	if Implausible(left, coldStart) {
		left = coldStart
		if b.OnBadColdness != nil {
			b.OnBadColdness(u.ID, coldStart)
		}
	}
	if u.coldAssumed {
		u.AssumeCold(max(left, coldStart), u.listedAt)
		return
	}
	u.RecordListedColdness(left, u.listedAt.Add(-entryDelay), u.listedAt)
}

// coldTolerance is by how much a reading may exceed the slow start of its service.
const coldTolerance = time.Second

// Implausible reports whether a reading of how much longer an upstream is cold can't be right for
// a service with this slow start.
func Implausible(left, coldStart time.Duration) bool {
	return left < 0 || coldStart > 0 && left > coldStart+coldTolerance
}

// SetServices sets the services whose upstreams have a slow start. It is called before a
// configuration comes into force, so that no request is sent without regard to it.
func (b *Upstreams) SetServices(services map[string]Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.slowStart
	b.slowStart = make(map[string]time.Duration)
	for name, s := range services {
		if s.SlowStart() {
			b.slowStart[name] = max(0, s.ColdStart)
		}
	}
	for _, u := range b.byID {
		coldStart, slow := b.slowStart[u.Listed().Service]
		_, before := old[u.Listed().Service]
		switch {
		case slow && !before:
			b.applyColdness(u, coldStart)
		case !slow && before:
			u.EndColdness()
		}
	}
}

// AnySlowStart reports whether any service has a slow start.
func (b *Upstreams) AnySlowStart() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.slowStart) > 0
}

// sharedBy returns what the upstreams of a service share. The caller holds b.mu.
func (b *Upstreams) sharedBy(service string) *upstream.Shared {
	if b.shared[service] == nil {
		b.shared[service] = &upstream.Shared{}
	}
	return b.shared[service]
}

// rebuildGroups replaces the groups of some services after a change of b.byID, or all groups if
// services is nil, as after a change of the evacuated failure domains. An entry that only changes other fields, as when weights are loaded, needs no
// new group. The caller holds b.mu.
func (b *Upstreams) rebuildGroups(services map[string]bool) {
	groups := make(map[string]*Group)
	for service, g := range b.Groups() {
		if services != nil && !services[service] {
			groups[service] = g
		}
	}
	for _, u := range b.byID {
		if b.AwaitEvacuations && !b.EvacuationsKnown() {
			break
		}
		l := u.Listed()
		if services != nil && !services[l.Service] {
			continue
		}
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
	for service, g := range groups {
		if g.Set != nil {
			continue // unchanged
		}
		slices.Sort(g.EvacuatedDomains)
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

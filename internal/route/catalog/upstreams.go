package catalog

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// Listed is what the platform's list says of an upstream. It is immutable.
type Listed struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Leaving       bool
	// Reclaimable ones may be taken away by the platform with short notice.
	Reclaimable bool
	// Born tells two lives under one id apart.
	Born int64
	// Versions are the weight versions by model.
	Versions map[string]uint64
}

// Upstream is a listed upstream with its state.
type Upstream struct {
	*upstream.Upstream
	listed atomic.Pointer[Listed]
	// reserved is the memory that streams of this instance will need, in tokens.
	reserved atomic.Int64
}

// Reserve counts memory that a stream will need; a negative number gives it back.
func (u *Upstream) Reserve(tokens int64) { u.reserved.Add(tokens) }

// Reserved returns the memory that streams of this instance will need, in tokens.
func (u *Upstream) Reserved() int64 { return u.reserved.Load() }

// Listed returns what the list says.
func (u *Upstream) Listed() *Listed { return u.listed.Load() }

// ModelVersion returns the weight version of a model by the list.
func (u *Upstream) ModelVersion(model string) uint64 { return u.Listed().Versions[model] }

// Group is the upstreams of one service. It is immutable; the upstreams' state
// is not.
type Group struct {
	Upstreams []*Upstream
	// Set holds the same upstreams for the routing policies.
	Set *upstream.Set
}

// Book holds all upstreams by id. Its zero value is empty.
type Book struct {
	Timer timer.Service

	mu     sync.Mutex
	byID   map[string]*Upstream
	groups atomic.Pointer[map[string]*Group]
}

// Group returns the upstreams of a service; it is never nil.
func (b *Book) Group(service string) *Group {
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
func (b *Book) Groups() map[string]*Group {
	if groups := b.groups.Load(); groups != nil {
		return *groups
	}
	return nil
}

// Update takes new entries and the ids whose entries are gone.
func (b *Book) Update(entries []Listed, gone []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID == nil {
		b.byID = make(map[string]*Upstream)
	}
	first := len(b.byID) == 0
	for i := range entries {
		b.put(&entries[i], first)
	}
	for _, id := range gone {
		if u := b.byID[id]; u != nil {
			u.MarkLeaving()
			delete(b.byID, id)
		}
	}
	b.rebuild()
}

// put adopts an entry. Another address or birth is another life: neither the
// counts nor the leaving mark of the one before carry over.
func (b *Book) put(l *Listed, first bool) {
	u := b.byID[l.ID]
	if u != nil {
		old := u.Listed()
		if old.Address != l.Address || old.Born != l.Born || old.Service != l.Service {
			u.MarkLeaving()
			u = nil
		}
	}
	if u == nil {
		u = &Upstream{
			Upstream: &upstream.Upstream{
				ID:            l.ID,
				Address:       l.Address,
				FailureDomain: l.FailureDomain,
				Incarnation:   uint64(l.Born),
				Slots:         l.Slots,
			},
		}
		since := b.Timer.Now()
		if first {
			since = since.Add(-time.Minute)
		}
		u.StartedAt(since)
		b.byID[l.ID] = u
	}
	u.listed.Store(l)
	if l.Leaving {
		u.MarkLeaving()
	}
}

func (b *Book) rebuild() {
	groups := make(map[string]*Group)
	for _, u := range b.byID {
		service := u.Listed().Service
		if groups[service] == nil {
			groups[service] = &Group{}
		}
		groups[service].Upstreams = append(groups[service].Upstreams, u)
	}
	for _, g := range groups {
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

// Judge compares the upstreams of each service and bounds how many are out.
func (b *Book) Judge(now timer.Instant) {
	for _, g := range b.Groups() {
		g.Set.Judge(now)
	}
}

package catalog

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// SetEvacuated replaces the set of evacuated failure domains. Group and Groups leave out their
// upstreams, and requests to them that wait for a connection are withdrawn. The upstreams of
// domains that are no longer in the set are put back, with a slow start.
func (b *Upstreams) SetEvacuated(domains map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	domains = maps.Clone(domains)
	b.evacuated.Store(&domains)
	var returned []*Upstream
	for _, u := range b.byID {
		if u.Evacuated() && !domains[u.Listed().FailureDomain] {
			returned = append(returned, u)
			continue
		}
		b.applyEvacuation(u)
	}
	b.putBack(returned)
	b.rebuildGroups(nil)
	if slices.ContainsFunc(returned, func(u *Upstream) bool { return u.MayHaveRestarted() }) {
		// They were in no group, so that nothing has found out whether they did.
		b.ConnectionLost.Set()
	}
}

// putBack ends the evacuation of upstreams. The caller holds b.mu.
func (b *Upstreams) putBack(returned []*Upstream) {
	if len(returned) > 0 && b.OnReturned != nil {
		b.OnReturned(returned)
	}
	now := b.Timer.Now()
	for _, u := range returned {
		if coldStart, slow := b.slowStart[u.Listed().Service]; slow {
			// Nothing tells how long an upstream whose domain is taken back is cold.
			u.AssumeCold(coldStart, now)
		}
		u.returnedAt.Store(max(1, int64(now)))
		u.SetSlowStart(now)
		u.SetEvacuated(false)
	}
}

// CheckSend returns engine.ErrWithdrawn if nothing may be sent to the upstream. A request may
// still wait for its connection to an upstream that is no longer listed, or listed anew, and that
// SetEvacuated does not mark, so the failure domain counts as well.
func (u *Upstream) CheckSend() error {
	if u.evacuated != nil {
		if domains := u.evacuated.Load(); domains != nil && (*domains)[u.FailureDomain] {
			return fmt.Errorf("%w: the failure domain %s is evacuated", engine.ErrWithdrawn, u.FailureDomain)
		}
	}
	return u.Upstream.CheckSend()
}

// ReturnedWithin reports whether the evacuation of the upstream's domain ended within d before now.
func (u *Upstream) ReturnedWithin(d time.Duration, now timer.Instant) bool {
	at := u.returnedAt.Load()
	return at != 0 && now.Sub(timer.Instant(at)) < d
}

// applyEvacuation marks an upstream whose failure domain is evacuated, and puts back one whose
// list entry names another failure domain now. The caller holds b.mu.
func (b *Upstreams) applyEvacuation(u *Upstream) {
	switch evacuated := b.Evacuated(u.Listed().FailureDomain); {
	case evacuated:
		u.SetEvacuated(true)
	case u.Evacuated():
		b.putBack([]*Upstream{u})
	}
}

// Evacuated reports whether a failure domain is evacuated.
func (b *Upstreams) Evacuated(domain string) bool {
	domains := b.evacuated.Load()
	return domains != nil && (*domains)[domain]
}

// EvacuatedFor returns the evacuated failure domains of a route's services if these have no
// upstream left because of them, and nil otherwise.
func (b *Upstreams) EvacuatedFor(r Route) []string {
	var domains []string
	for _, s := range r.Split {
		g := b.Group(s.Service)
		if len(g.Upstreams) > 0 || len(g.EvacuatedDomains) == 0 {
			return nil
		}
		domains = append(domains, g.EvacuatedDomains...)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// EvacuationsKnown reports whether SetEvacuated was called.
func (b *Upstreams) EvacuationsKnown() bool { return b.evacuated.Load() != nil }

// EvacuatedAddresses returns the addresses of the upstreams in evacuated failure domains.
func (b *Upstreams) EvacuatedAddresses() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	addresses := make(map[string]bool)
	for _, u := range b.byID {
		if u.Evacuated() {
			addresses[u.Address] = true
		}
	}
	return addresses
}

// DomainLoad is what this instance has in one failure domain: its upstreams, and its requests
// that are in flight there.
type DomainLoad struct {
	Upstreams int
	InFlight  int64
}

// DomainLoad returns what this instance has in a failure domain, whether or not it is evacuated.
func (b *Upstreams) DomainLoad(domain string) DomainLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var load DomainLoad
	for _, u := range b.byID {
		if u.Listed().FailureDomain == domain {
			load.Upstreams++
			load.InFlight += u.InFlight()
		}
	}
	return load
}

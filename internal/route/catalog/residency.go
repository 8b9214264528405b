package catalog

import (
	"maps"
	"slices"
	"sync"

	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// regionIndex is the part of a configuration that concerns regions, in the form in which it is
// looked up.
type regionIndex struct {
	// restricted reports whether any route or organisation is restricted to regions.
	restricted bool
	// sets holds each restriction that a request can have, by its key.
	sets map[string]residency.Regions
}

// newRegionIndex returns the index of c, whose routes are indexed already.
func newRegionIndex(c *Configuration) regionIndex {
	sets := make(map[string]residency.Regions)
	add := func(r residency.Regions) {
		if r.Restricted() {
			sets[r.Key()] = r
		}
	}
	organisations := c.Organisations.RestrictedRegions()
	for _, r := range organisations {
		add(r)
	}
	for _, route := range c.Routes {
		add(route.Regions)
		for _, r := range organisations {
			add(route.Regions.Intersect(r))
		}
	}
	return regionIndex{
		restricted: len(sets) > 0,
		sets:       sets,
	}
}

// Restricted reports whether any route or organisation is restricted to regions. A nil
// configuration has no restriction.
func (c *Configuration) Restricted() bool { return c != nil && c.residency.restricted }

// RegionSets returns each restriction that a request can have. The order is the same in all
// instances.
func (c *Configuration) RegionSets() []residency.Regions {
	if !c.Restricted() {
		return nil
	}
	var sets []residency.Regions
	for _, key := range slices.Sorted(maps.Keys(c.residency.sets)) {
		sets = append(sets, c.residency.sets[key])
	}
	return sets
}

// RequestRegions returns the regions in which a request for a host and path on behalf of an
// organisation may be served. If there is no route for it any more, fallback stands for the
// regions of the route.
func (c *Configuration) RequestRegions(host, path, organisation string, fallback residency.Regions) residency.Regions {
	if !c.Restricted() {
		return residency.Regions{}
	}
	if route, ok := c.Find(host, path); ok {
		fallback = route.Regions
	}
	return fallback.Intersect(c.Organisations.Regions(organisation))
}

// HostRestricted reports whether a route of a host, or any organisation, is restricted to
// regions.
func (c *Configuration) HostRestricted(host string) bool {
	return c.Restricted() && (len(c.Organisations.RestrictedRegions()) > 0 ||
		slices.ContainsFunc(c.routesByHost[host], func(r Route) bool { return r.Regions.Restricted() }))
}

// HostAllows reports whether all routes of a host, and whether any of them, allow a region.
func (c *Configuration) HostAllows(host, region string) (all, some bool) {
	routes := c.routesByHost[host]
	all = true
	for _, r := range routes {
		allowed := r.Regions.Allows(region)
		all = all && allowed
		some = some || allowed
	}
	return all, some || len(routes) == 0
}

// ServiceRegions returns the regions that the routes to a service allow together.
func (c *Configuration) ServiceRegions(service string) residency.Regions {
	names := []string{}
	for _, r := range c.Routes {
		if !slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service }) {
			continue
		}
		if !r.Regions.Restricted() {
			return residency.Regions{}
		}
		names = append(names, r.Regions.Names()...)
	}
	if len(names) == 0 {
		return residency.Regions{}
	}
	return residency.FromList(names)
}

// Superseded returns a channel that is closed when a holder replaces the configuration. It is
// nil for a configuration without an index, or a nil one.
func (c *Configuration) Superseded() <-chan struct{} {
	if c == nil || c.superseded == nil {
		return nil
	}
	return c.superseded.ch
}

func (c *Configuration) supersede() {
	if c != nil && c.superseded != nil {
		c.superseded.once.Do(func() { close(c.superseded.ch) })
	}
}

// closeOnce is a channel that several holders may close.
type closeOnce struct {
	once sync.Once
	ch   chan struct{}
}

// In returns the part of the group in the allowed regions. The part of a set of regions is
// always the same group, with the same Set, while g is in use.
func (g *Group) In(regions residency.Regions) *Group {
	if !regions.Restricted() {
		return g
	}
	if part, ok := g.parts.Load(regions.Key()); ok {
		return part.(*Group)
	}
	part := &Group{
		Set:              &upstream.Set{},
		EvacuatedDomains: g.EvacuatedDomains,
	}
	for _, u := range g.Upstreams {
		if regions.Allows(u.Listed().Region) {
			part.Upstreams = append(part.Upstreams, u)
			part.Set.Upstreams = append(part.Set.Upstreams, u.Upstream)
		}
	}
	part.Set.Total = len(part.Upstreams)
	actual, _ := g.parts.LoadOrStore(regions.Key(), part)
	return actual.(*Group)
}

// ChooseService returns the service of a route for a random number in [0, 1). If the chosen one
// has no upstream in the allowed regions, it returns another service of the route that has one,
// so that a request is refused only if no upstream of its route may serve it.
func (b *Upstreams) ChooseService(route Route, regions residency.Regions, random float64) string {
	chosen := route.ChooseService(random)
	if !regions.Restricted() || len(b.Group(chosen).In(regions).Upstreams) > 0 {
		return chosen
	}
	for _, s := range route.Split {
		if s.Weight > 0 && len(b.Group(s.Service).In(regions).Upstreams) > 0 {
			return s.Service
		}
	}
	return chosen
}

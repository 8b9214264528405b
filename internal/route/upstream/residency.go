package upstream

import (
	"maps"

	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// In returns the part of the set in the allowed regions. The part of a set of regions is always
// the same while s is in use. The region of an upstream is that of the instances in its failure
// domain.
func (s *Set) In(regions residency.Regions) *Set {
	if !regions.Restricted() {
		return s
	}
	if part, ok := s.parts.Load(regions.Key()); ok {
		return part.(*Set)
	}
	part := &Set{
		Deployment:    s.Deployment,
		domainRegions: s.domainRegions,
	}
	for _, u := range s.Upstreams {
		if regions.Allows(s.domainRegions[u.FailureDomain]) {
			part.Upstreams = append(part.Upstreams, u)
		}
	}
	part.Total = len(part.Upstreams)
	part.buildRing()
	actual, _ := s.parts.LoadOrStore(regions.Key(), part)
	return actual.(*Set)
}

// SetRegions sets the map of failure domains to regions that the next Build uses, and reports
// whether it differs from the one before.
func (t *Table) SetRegions(domainRegions map[string]string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if maps.Equal(t.domainRegions, domainRegions) {
		return false
	}
	t.domainRegions = domainRegions
	return true
}

// domainRegions returns the region of each failure domain with an instance, which states both.
// A domain whose instances state different regions is in none.
func domainRegions(members []member.Member) map[string]string {
	regions := make(map[string]string)
	for _, m := range members {
		if known, ok := regions[m.FailureDomain]; ok && known != m.Region {
			regions[m.FailureDomain] = ""
			continue
		}
		regions[m.FailureDomain] = m.Region
	}
	return regions
}

package upstream

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/roster"
)

// virtualNodes is the number of points of each upstream on the consistent hash ring, on which
// prefix hashes are looked up.
const virtualNodes = 16

// Set is the immutable list of upstreams of one deployment that this instance routes to.
type Set struct {
	Deployment configuration.Deployment
	Upstreams  []*Upstream
	// Total is the number of upstreams in the whole fleet.
	Total int
	// Shared is what the upstreams share. If it is not nil, Upstreams is in order of the IDs.
	Shared *Shared
	ring   []ringPoint
	median medianCache
	// domainRegions maps failure domains to their regions, and parts holds the results of In
	// by the key of the regions.
	domainRegions map[string]string
	parts         sync.Map
}

// ringPoint is a point of an upstream on the consistent hash ring.
type ringPoint struct {
	hash uint64
	u    *Upstream
}

// newSet selects this instance's subset of list and reuses the Upstreams of the old set, if any.
func newSet(d configuration.Deployment, self member.Member, list []roster.Instance, domainRegions map[string]string, old *Set, now timer.Instant) *Set {
	if regions := d.Regions(); regions.Restricted() {
		list = slices.DeleteFunc(slices.Clone(list), func(in roster.Instance) bool { return !regions.Allows(domainRegions[in.FailureDomain]) })
	}
	s := &Set{
		Deployment:    d,
		Total:         len(list),
		domainRegions: domainRegions,
	}
	known := make(map[string]*Upstream)
	if old != nil {
		for _, u := range old.Upstreams {
			known[u.ID] = u
		}
	}
	for _, in := range subset(self, list, d.SubsetSize) {
		s.Upstreams = append(s.Upstreams, reuseOrCreate(known[in.ID], in, d, old == nil, now))
	}
	s.buildRing()
	return s
}

// reuseOrCreate returns the Upstream for a listed instance: u if it is of the same incarnation
// and address, else a new one. A new incarnation carries over neither the counts nor the leaving
// mark. initial reports whether the set is the first one of its deployment.
func reuseOrCreate(u *Upstream, in roster.Instance, d configuration.Deployment, initial bool, now timer.Instant) *Upstream {
	if u == nil || u.Incarnation != in.Incarnation || u.Address != in.Address {
		u = &Upstream{
			ID:            in.ID,
			Address:       in.Address,
			FailureDomain: in.FailureDomain,
			Incarnation:   in.Incarnation,
			Slots:         d.Slots,
		}
		// Upstreams that were listed when this instance started are not new to the
		// fleet; only later ones get a slow start.
		u.slowStartFrom.Store(int64(now))
		if initial {
			u.slowStartFrom.Store(int64(now.Add(-SlowStart)))
		}
	}
	if in.Leaving {
		u.MarkLeaving()
	}
	return u
}

// subset selects at most n instances: up to half of them from the failure domain of self, the
// others from all, each by rendezvous hash. This spreads the instances of the fleet evenly over
// the upstreams, and a change of the list changes few selections.
func subset(self member.Member, list []roster.Instance, n int) []roster.Instance {
	if len(list) > n {
		list = selectByScore(self, list, n)
	}
	slices.SortFunc(list, func(a, b roster.Instance) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// scoredIndex is an index into a list with the rendezvous hash of the element.
type scoredIndex struct {
	score uint64
	index int
}

// selectByScore selects n elements of list by descending rendezvous hash, of which up to n/2 are
// reserved for the failure domain of self.
func selectByScore(self member.Member, list []roster.Instance, n int) []roster.Instance {
	order := make([]scoredIndex, len(list))
	for i, in := range list {
		order[i] = scoredIndex{
			score: member.Score(self.ID, in.ID),
			index: i,
		}
	}
	slices.SortFunc(order, func(a, b scoredIndex) int { return cmp.Compare(b.score, a.score) })
	var near, far []roster.Instance
	for _, r := range order {
		in := list[r.index]
		if in.FailureDomain == self.FailureDomain && len(near) < n/2 {
			near = append(near, in)
		} else if len(far) < n {
			far = append(far, in)
		}
	}
	return append(near, far[:n-len(near)]...)
}

// buildRing builds the consistent hash ring from s.Upstreams.
func (s *Set) buildRing() {
	s.ring = make([]ringPoint, 0, len(s.Upstreams)*virtualNodes)
	for _, u := range s.Upstreams {
		h := xxhash.Sum64String(u.ID)
		for i := range virtualNodes {
			s.ring = append(s.ring, ringPoint{
				hash: mixHash(h + uint64(i)*0x9e3779b97f4a7c15),
				u:    u,
			})
		}
	}
	slices.SortFunc(s.ring, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		if a.hash > b.hash {
			return 1
		}
		return 0
	})
}

// mixHash spreads the bits of a hash; it is a part of the 64-bit finalizer of MurmurHash3.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// WalkRing calls visit with the upstreams that follow key on the ring, until visit
// returns false or steps points were visited. One upstream may be visited several times.
func (s *Set) WalkRing(key uint64, steps int, visit func(*Upstream) bool) {
	if len(s.ring) == 0 {
		return
	}
	start, _ := slices.BinarySearchFunc(s.ring, mixHash(key), func(p ringPoint, k uint64) int {
		if p.hash < k {
			return -1
		}
		return 1
	})
	for i := range min(steps, len(s.ring)) {
		if !visit(s.ring[(start+i)%len(s.ring)].u) {
			return
		}
	}
}

// Capacity returns the total slots of the upstreams in service, and the estimated load of other
// instances on them. Cold upstreams count with what this instance may send to them.
func (s *Set) Capacity(now timer.Instant) (slots, others float64) {
	for _, u := range s.Upstreams {
		if !u.InService(now) {
			continue
		}
		if u.Cold(now) {
			slots += float64(u.PermitSlots(now))
			continue
		}
		slots += float64(max(1, u.Slots))
		report := u.report.Load()
		if report == nil {
			continue
		}
		slots += float64(u.effectiveSlots(report) - max(1, u.Slots))
		others += u.othersLoad(report, now)
	}
	return slots, others
}

// SlotsLeft returns how many slots of the usable upstreams other instances leave to this one,
// by reports that are younger than maxAge, or 0 if there is no such report. It is at least one
// otherwise. Upstreams without such a report count with all their slots, and cold ones with what
// this instance may send to them.
func (s *Set) SlotsLeft(now timer.Instant, maxAge time.Duration) float64 {
	left, known := 0.0, false
	for _, u := range s.Upstreams {
		if !u.InService(now) {
			continue
		}
		if u.Cold(now) {
			left += float64(u.PermitSlots(now))
			continue
		}
		report := u.report.Load()
		if report == nil || now.Sub(report.receivedAt) >= maxAge {
			left += float64(max(1, u.Slots))
			continue
		}
		known = true
		left += max(0, float64(u.effectiveSlots(report))-u.othersLoad(report, now))
	}
	if !known {
		return 0
	}
	return max(1, left)
}

// DetectOutliers updates the slowness of the upstreams and limits how many are ejected.
func (s *Set) DetectOutliers(now timer.Instant) {
	s.comparePaces()
	s.limitEjected(now)
}

// comparePaces compares each upstream's pace with the median.
func (s *Set) comparePaces() {
	median := s.MedianPace()
	if median == 0 {
		return
	}
	for _, u := range s.Upstreams {
		u.updateSlowness(median)
	}
}

// MedianPace returns the median time per unit of work in seconds, or zero if fewer than three
// upstreams have a pace. In a set of more than maxExactPaces it may be a little out of date.
func (s *Set) MedianPace() float64 {
	if s.Shared == nil {
		return medianOf(s.Upstreams, (*Upstream).Pace)
	}
	changes := s.Shared.paceChanges.Load()
	if median, ok := s.median.lookup(changes, len(s.Upstreams)); ok {
		return median
	}
	median := medianOf(s.Upstreams, (*Upstream).Pace)
	s.median.store(changes, median)
	return median
}

// PaceNoise returns the median of the noise in the paces of the upstreams that have any: by how
// much the measured paces of equal upstreams differ. It is zero if fewer than three have any.
func (s *Set) PaceNoise() float64 { return medianOf(s.Upstreams, (*Upstream).PaceNoise) }

// Find returns the index of an upstream in a set that is in order of the IDs, and whether it is
// there.
func (s *Set) Find(u *Upstream) (int, bool) {
	if i := int(u.foundAt.Load()); i < len(s.Upstreams) && s.Upstreams[i] == u {
		return i, true
	}
	i, found := slices.BinarySearchFunc(s.Upstreams, u.ID, func(x *Upstream, id string) int { return strings.Compare(x.ID, id) })
	found = found && s.Upstreams[i] == u
	if found {
		u.foundAt.Store(int32(i))
	}
	return i, found
}

// PossiblyIdle returns the upstreams of the set to which this instance may have an idle connection:
// all, unless the set has Shared. They may include some that are no longer in the set.
func (s *Set) PossiblyIdle() []*Upstream {
	if s.Shared == nil {
		return s.Upstreams
	}
	return s.Shared.idle.load()
}

// PruneIdle removes the upstreams whose idle connections have ended from what PossiblyIdle returns.
func (s *Set) PruneIdle(now timer.Instant) {
	if s.Shared != nil {
		s.Shared.idle.prune(now)
	}
}

// maxEjectedShare is the largest share of a set that may be ejected for failures.
const maxEjectedShare = 0.34

// limitEjected readmits upstreams if too many are ejected, starting with those whose ejection
// ends first. The remaining ones would otherwise be overloaded, and when so many fail, the cause
// is probably not in each of them.
func (s *Set) limitEjected(now timer.Instant) {
	var ejected []*Upstream
	for _, u := range s.Upstreams {
		if u.Ejected(now) {
			ejected = append(ejected, u)
		}
	}
	allowed := int(maxEjectedShare * float64(len(s.Upstreams)))
	sort.Slice(ejected, func(i, j int) bool { return ejected[i].ejectedUntil.Load() < ejected[j].ejectedUntil.Load() })
	for i := 0; i < len(ejected)-allowed; i++ {
		ejected[i].ejectedUntil.Store(int64(now))
		ejected[i].slowStartFrom.Store(int64(now))
	}
}

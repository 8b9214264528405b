package upstream

import (
	"cmp"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/roster"
)

// ringPoints is how often each upstream stands on the ring of prefix hashes.
const ringPoints = 16

// Set is the immutable list of upstreams of one deployment that this instance
// routes to.
type Set struct {
	Deployment configuration.Deployment
	Upstreams  []*Upstream
	// Total is the number of upstreams in the whole fleet.
	Total int
	ring  []point
}

type point struct {
	hash uint64
	u    *Upstream
}

// newSet chooses this instance's subset of list and reuses the state of
// upstreams that were known before.
func newSet(d configuration.Deployment, self member.Member, list []roster.Instance, old *Set, now timer.Instant) *Set {
	s := &Set{
		Deployment: d,
		Total:      len(list),
	}
	known := make(map[string]*Upstream)
	if old != nil {
		for _, u := range old.Upstreams {
			known[u.ID] = u
		}
	}
	for _, in := range subset(self, list, d.SubsetSize) {
		s.Upstreams = append(s.Upstreams, adopt(known[in.ID], in, d, old == nil, now))
	}
	s.buildRing()
	return s
}

// adopt returns the state for an instance in the list. A new incarnation is a
// new upstream: neither its counts nor its leaving mark carry over.
func adopt(u *Upstream, in roster.Instance, d configuration.Deployment, first bool, now timer.Instant) *Upstream {
	if u == nil || u.Incarnation != in.Incarnation || u.Address != in.Address {
		u = &Upstream{
			ID:            in.ID,
			Address:       in.Address,
			FailureDomain: in.FailureDomain,
			Incarnation:   in.Incarnation,
			Slots:         d.Slots,
		}
		// Those that were there when this instance began are not new to the
		// fleet; only later ones start slowly.
		u.since.Store(int64(now))
		if first {
			u.since.Store(int64(now.Add(-SlowStart)))
		}
	}
	if in.Leaving {
		u.MarkLeaving()
	}
	return u
}

// subset picks at most n upstreams: half of the places go to the own failure
// domain first, the others to all by rendezvous hash. Different instances so
// share the upstreams evenly, and a change of the list moves few of them.
func subset(self member.Member, list []roster.Instance, n int) []roster.Instance {
	if len(list) > n {
		list = pick(self, list, n)
	}
	slices.SortFunc(list, func(a, b roster.Instance) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// ranked is a place in a list with its rendezvous hash.
type ranked struct {
	score uint64
	at    int
}

func pick(self member.Member, list []roster.Instance, n int) []roster.Instance {
	order := make([]ranked, len(list))
	for i, in := range list {
		order[i] = ranked{
			score: member.Score(self.ID, in.ID),
			at:    i,
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	var near, far []roster.Instance
	for _, r := range order {
		in := list[r.at]
		if in.FailureDomain == self.FailureDomain && len(near) < n/2 {
			near = append(near, in)
		} else if len(far) < n {
			far = append(far, in)
		}
	}
	return append(near, far[:n-len(near)]...)
}

func (s *Set) buildRing() {
	s.ring = make([]point, 0, len(s.Upstreams)*ringPoints)
	for _, u := range s.Upstreams {
		h := xxhash.Sum64String(u.ID)
		for i := range ringPoints {
			s.ring = append(s.ring, point{
				hash: mix(h + uint64(i)*0x9e3779b97f4a7c15),
				u:    u,
			})
		}
	}
	slices.SortFunc(s.ring, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		if a.hash > b.hash {
			return 1
		}
		return 0
	})
}

func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// Walk calls visit with the upstreams that follow key on the ring, until it
// returns false or steps points were passed.
func (s *Set) Walk(key uint64, steps int, visit func(*Upstream) bool) {
	if len(s.ring) == 0 {
		return
	}
	start, _ := slices.BinarySearchFunc(s.ring, mix(key), func(p point, k uint64) int {
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

// Capacity returns the requests that the usable upstreams serve at once, and
// how many of other instances they have as far as this one knows.
func (s *Set) Capacity(now timer.Instant) (slots, others float64) {
	for _, u := range s.Upstreams {
		if !u.Usable(now) {
			continue
		}
		slots += float64(max(1, u.Slots))
		h := u.report.Load()
		if h == nil {
			continue
		}
		slots += float64(u.slots(h) - max(1, u.Slots))
		others += u.others(h, now)
	}
	return slots, others
}

// Judge compares the upstreams and bounds how many are out.
func (s *Set) Judge(now timer.Instant) {
	s.comparePaces()
	s.limitOut(now)
}

// comparePaces rates each upstream's pace against the median.
func (s *Set) comparePaces() {
	median := s.MedianPace()
	if median == 0 {
		return
	}
	for _, u := range s.Upstreams {
		u.compare(median)
	}
}

// MedianPace returns the median time per unit of work in seconds, or zero
// while fewer than three upstreams have a pace.
func (s *Set) MedianPace() float64 {
	var paces []float64
	for _, u := range s.Upstreams {
		if p := u.Pace(); p > 0 {
			paces = append(paces, p)
		}
	}
	if len(paces) < 3 {
		return 0
	}
	sort.Float64s(paces)
	return paces[len(paces)/2]
}

// maxOutShare is the largest share of a set that may be out for failures.
const maxOutShare = 0.34

// limitOut brings upstreams back when too many are out: the rest would fall
// over under the whole load, and the cause is then hardly in each of them.
func (s *Set) limitOut(now timer.Instant) {
	var out []*Upstream
	for _, u := range s.Upstreams {
		if u.Out(now) {
			out = append(out, u)
		}
	}
	allowed := int(maxOutShare * float64(len(s.Upstreams)))
	sort.Slice(out, func(i, j int) bool { return out[i].outUntil.Load() < out[j].outUntil.Load() })
	for i := 0; i < len(out)-allowed; i++ {
		out[i].outUntil.Store(int64(now))
		out[i].since.Store(int64(now))
	}
}

package member

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the fleet.
type View struct {
	Self Member
	// Alive holds the alive and suspect instances that are not leaving, in ring
	// order. It includes self unless self is leaving.
	Alive []Member
	// Known holds all instances, including dead and leaving ones, in ring order.
	Known []Member

	byID map[string]Member
	// changeCount is the number of changes of member entries that the view was
	// built after.
	changeCount uint64
}

func newView(self Member, members []Member) *View {
	v := &View{
		Self:  self,
		Known: members,
		byID:  make(map[string]Member, len(members)),
	}
	slices.SortFunc(members, func(a, b Member) int {
		if ringLess(a, b) {
			return -1
		}
		return 1
	})
	for _, m := range members {
		v.byID[m.ID] = m
		if m.Status != Dead && !m.Leaving {
			v.Alive = append(v.Alive, m)
		}
	}
	return v
}

// ringLess orders instances on the ring, by the hash of their IDs.
func ringLess(a, b Member) bool {
	ha, hb := xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)
	if ha != hb {
		return ha < hb
	}
	return a.ID < b.ID
}

// Find returns the instance with the given ID.
func (v *View) Find(id string) (Member, bool) {
	m, ok := v.byID[id]
	return m, ok
}

// Successors returns up to n instances that follow self on the ring, except
// dead ones. Each instance probes its successors, so each is probed by n others.
func (v *View) Successors(n int) []Member {
	var ring []Member
	for _, m := range v.Known {
		if m.ID != v.Self.ID && m.Status != Dead {
			ring = append(ring, m)
		}
	}
	start := sort.Search(len(ring), func(i int) bool { return !ringLess(ring[i], v.Self) })
	var out []Member
	for i := 0; i < len(ring) && len(out) < n; i++ {
		out = append(out, ring[(start+i)%len(ring)])
	}
	return out
}

// Top returns the n alive instances with the highest rendezvous hash for key.
// All instances with the same view get the same result, and when an instance
// dies, only its keys move.
func (v *View) Top(key string, n int) []Member {
	return Top(v.Alive, key, n)
}

// TopOutside is like Top but excludes the instances of a failure domain, unless
// there are no others.
func (v *View) TopOutside(domain, key string, n int) []Member {
	var others []Member
	for _, m := range v.Alive {
		if m.FailureDomain != domain {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return Top(v.Alive, key, n)
	}
	return Top(others, key, n)
}

// TopInDomain reports whether self is one of the n instances of its own
// failure domain with the highest rendezvous hash for key. Work that a fixed
// number of instances of each domain does is divided in this way without
// coordination.
func (v *View) TopInDomain(key string, n int) bool {
	var domain []Member
	for _, m := range v.Alive {
		if m.FailureDomain == v.Self.FailureDomain {
			domain = append(domain, m)
		}
	}
	for _, m := range Top(domain, key, n) {
		if m.ID == v.Self.ID {
			return true
		}
	}
	return false
}

// Top returns the n members of list with the highest rendezvous hash for key.
func Top(list []Member, key string, n int) []Member {
	type scored struct {
		score uint64
		m     Member
	}
	all := make([]scored, 0, len(list))
	for _, m := range list {
		all = append(all, scored{
			score: Score(key, m.ID),
			m:     m,
		})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		if a.score < b.score {
			return 1
		}
		return 0
	})
	out := make([]Member, 0, n)
	for i := 0; i < len(all) && i < n; i++ {
		out = append(out, all[i].m)
	}
	return out
}

// Score returns the rendezvous hash of a key and the ID of an instance or
// upstream.
func Score(key, id string) uint64 {
	h := xxhash.Sum64String(key) ^ (xxhash.Sum64String(id) * 0x9e3779b97f4a7c15)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

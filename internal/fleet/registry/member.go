package registry

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/dial"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Member is the entry of one instance.
type Member struct {
	Name string `json:"name"`
	// Incarnation identifies one process of the instance, from start to end.
	Incarnation   string `json:"incarnation"`
	PeerAddress   string `json:"peer_address"`
	EntryAddress  string `json:"entry_address,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Cores is the number of processor cores that the instance may use, which may
	// be a fraction; zero if it does not report any.
	Cores   float64 `json:"cores,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
}

// maxCores is the largest number of cores that an instance can report. The largest one decides which
// instances are eligible for batches.
const maxCores = 1 << 12

// decodeMember decodes the entry of the instance that is called name. It returns an error for an entry
// that no instance has written.
func decodeMember(name string, value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, err
	}
	if m.Name != name || m.Incarnation == "" {
		return Member{}, fmt.Errorf("the entry of %.80q names the instance %.80q, incarnation %.80q", name, m.Name, m.Incarnation)
	}
	if m.Cores < 0 || m.Cores > maxCores {
		return Member{}, fmt.Errorf("the entry of %.80q has %g cores", name, m.Cores)
	}
	if m.EntryAddress == "" {
		return m, nil
	}
	if err := dial.CheckAddress(m.EntryAddress); err != nil {
		return Member{}, fmt.Errorf("the entry of %.80q: %w", name, err)
	}
	return m, nil
}

// eligibleShare is the fraction of the largest instance's Cores that an instance
// must have to be eligible for batches.
const eligibleShare = 0.6

// Eligible returns the members that are eligible for batches: those that are not
// leaving and have nearly as many cores as the largest instance. A step of two
// hundred streams takes the smallest instances seconds, longer than the step may
// take.
func Eligible(members []Member) []Member {
	minCores := minEligibleCores(members)
	var eligible []Member
	for i := range members {
		if members[i].eligible(minCores) {
			eligible = append(eligible, members[i])
		}
	}
	return eligible
}

// minEligibleCores returns the cores that a member must have to be eligible for batches.
func minEligibleCores(members []Member) float64 {
	maxCores := 0.0
	for i := range members {
		if m := &members[i]; !m.Leaving {
			maxCores = max(maxCores, m.Cores)
		}
	}
	return eligibleShare * maxCores
}

func (m *Member) eligible(minCores float64) bool { return !m.Leaving && m.Cores >= minCores }

// Ranked returns the n eligible members with the highest rendezvous hash for key,
// the highest first. All instances with the same view get the same result, and
// few keys change members when a member joins or leaves.
func Ranked(members []Member, key string, n int) []Member {
	type scored struct {
		score uint64
		index int
	}
	minCores := minEligibleCores(members)
	list := make([]scored, 0, len(members))
	for i := range members {
		if members[i].eligible(minCores) {
			list = append(list, scored{score: member.Score(members[i].Name, key), index: i})
		}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]Member, min(n, len(list)))
	for i := range ranked {
		ranked[i] = members[list[i].index]
	}
	return ranked
}

// RankedNear returns up to n members like Ranked, those of a region first.
func RankedNear(members []Member, region, key string, n int) []Member {
	ranked := Ranked(members, key, len(members))
	slices.SortStableFunc(ranked, func(a, b Member) int {
		switch {
		case a.Region == region && b.Region != region:
			return -1
		case a.Region != region && b.Region == region:
			return 1
		}
		return 0
	})
	return ranked[:min(n, len(ranked))]
}

// InRegions returns the members in the allowed regions.
func InRegions(members []Member, regions residency.Regions) []Member {
	if !regions.Restricted() {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !regions.Allows(m.Region) })
}

// Without returns the members except the one called name.
func Without(members []Member, name string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == name })
}

// successorCount is the number of instances that hold copies of what an instance
// runs. With two, half of all instances may be lost at once and copies of most of
// their work remain.
const successorCount = 2

// Successors returns the instances that take over the work of the one called
// name, in the order in which they are to do so.
func Successors(members []Member, name string) []Member {
	return Ranked(Without(members, name), name, successorCount)
}

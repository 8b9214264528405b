package registry

import (
	"slices"

	"github.com/egretbend/egretbend/internal/fleet/member"
)

// Member is one instance.
type Member struct {
	Name string `json:"name"`
	// Incarnation tells the lives of an instance apart.
	Incarnation   string `json:"incarnation"`
	PeerAddress   string `json:"peer_address"`
	EntryAddress  string `json:"entry_address,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Cores is the processor share of the instance.
	Cores   float64 `json:"cores,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
}

// ableShare is how much of the largest instance's processor share one must have
// to count as able.
const ableShare = 0.6

// Able returns the members that are not leaving and have about the most
// processor there is. A step of two hundred streams is seconds of work for the
// smallest instances, longer than the step may take.
func Able(members []Member) []Member {
	most := 0.0
	for _, m := range members {
		if !m.Leaving {
			most = max(most, m.Cores)
		}
	}
	var able []Member
	for _, m := range members {
		if !m.Leaving && m.Cores >= ableShare*most {
			able = append(able, m)
		}
	}
	return able
}

// Ranked returns the first n able members for a key by a rendezvous hash. All
// instances with the same view come to the same ones, and few change when a member
// comes or goes.
func Ranked(members []Member, key string, n int) []Member {
	able := Able(members)
	slices.SortFunc(able, func(a, b Member) int {
		x, y := member.Score(a.Name, key), member.Score(b.Name, key)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return able[:min(n, len(able))]
}

// Without returns the members but the one called name.
func Without(members []Member, name string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == name })
}

// successors is how many instances hold copies of what an instance runs: with two,
// half of all instances may be lost at once and the copies of most are left.
const successors = 2

// Successors returns the instances that take over from the one called name, the first
// one first.
func Successors(members []Member, name string) []Member {
	return Ranked(Without(members, name), name, successors)
}

package registry

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against a client that is sent out of its region while an instance serves there, or to a
// region that the routes of its host don't allow while another one does.
func TestAddressesFollowRegions(t *testing.T) {
	is := is.New(t)
	r := &Registry{}
	r.SetSelf(Member{Name: "me", EntryAddress: "me", FailureDomain: "a1", Region: "a"})
	r.members = make(map[string]Member)
	for _, region := range []string{"a", "b", "c"} {
		for i := range 2 {
			name := fmt.Sprint(region, i)
			r.members[name] = Member{Name: name, EntryAddress: name, FailureDomain: region + fmt.Sprint(i), Region: region}
		}
	}
	r.updateView()
	allowsOnly := func(allowed string) func(string) int {
		return func(region string) int {
			if region == allowed {
				return 0
			}
			return 1
		}
	}
	addresses := func(c Client) []string {
		list := r.EntryAddresses(c, 64)
		slices.Sort(list)
		return list
	}
	is.Equal(addresses(Client{FailureDomain: "b1", Region: "b", Rank: allowsOnly("c")}), []string{"b0", "b1"})
	is.Equal(r.EntryAddresses(Client{FailureDomain: "b1", Region: "b", Rank: allowsOnly("c")}, 64)[0], "b1")
	is.Equal(addresses(Client{Region: "elsewhere", Rank: allowsOnly("c")}), []string{"c0", "c1"})
	is.Equal(addresses(Client{Rank: allowsOnly("c")}), []string{"c0", "c1"})
	is.Equal(len(addresses(Client{Region: "elsewhere", Rank: allowsOnly("nowhere")})), 7)
	is.Equal(len(addresses(Client{Region: "b"})), 7) // no restriction
	delete(r.members, "b0")
	m := r.members["b1"]
	m.Leaving = true
	r.members["b1"] = m
	r.updateView()
	is.Equal(addresses(Client{Region: "b", Rank: allowsOnly("c")}), []string{"c0", "c1"}) // none serves in b
}

// Guards against callers that connect to instances far away, and those of a region with few
// instances, which find none while these restart.
func TestCallersStayInARegionWithEnoughInstances(t *testing.T) {
	is := is.New(t)
	r := &Registry{}
	r.SetSelf(Member{Name: "a0", EntryAddress: "a0", Region: "a", FailureDomain: "a1"})
	r.members = make(map[string]Member)
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		r.members[name] = Member{Name: name, EntryAddress: name, Region: name[:1], FailureDomain: name}
	}
	r.updateView()
	list := r.EntryAddresses(Client{Region: "a", FailureDomain: "a2"}, 64)
	is.Equal(list[0], "a2")
	is.Equal(len(list), 3)
	is.Equal(len(r.EntryAddresses(Client{Region: "b", FailureDomain: "b1"}, 64)), 5)
	is.Equal(len(r.EntryAddresses(Client{}, 64)), 5)
}

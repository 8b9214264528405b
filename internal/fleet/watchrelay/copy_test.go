package watchrelay

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// newLargeCopy returns a copy of 10,000 items.
func newLargeCopy() *Copy {
	c := &Copy{}
	c.Apply(listChanges(10_000, 0), 10_000)
	return c
}

// Guards against followers that list all upstreams at each query: 9,000 engines that load weights
// every 4 s make 2,000 changes between two queries.
func TestFollowerOfLargeListGetsTheChangesOfSomeSeconds(t *testing.T) {
	is := is.New(t)
	c := newLargeCopy()
	for i := range 4 {
		after := uint64(10_000 + 1000*i)
		c.Apply(listChanges(1000, after), after+1000)
	}
	changes, revision, _, ok := c.changesAfter(12_000)
	is.True(ok)
	is.Equal(revision, uint64(14_000))
	// The same 1,000 engines changed twice since; only the last change of each is sent.
	is.Equal(len(changes), 1000)
	for _, change := range changes {
		is.True(change.Revision > 13_000)
		is.True(len(change.Value) > 0)
	}
	// The values that were replaced are not kept in memory.
	kept := 0
	for _, change := range c.changes {
		if change.Value != nil {
			kept++
		}
	}
	is.Equal(kept, 1000)
}

// Guards against a follower that does not learn that an instance ended because its entry was
// written again, and so nobody takes over its batches.
func TestRemovalIsSentThoughTheKeyIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	c := newLargeCopy()
	key := listChanges(1, 0)[0].Key
	c.Apply([]keyvalue.Change{{Item: keyvalue.Item{Key: key, Revision: 10_001}, Removed: true}}, 10_001)
	c.Apply([]keyvalue.Change{{Item: keyvalue.Item{Key: key, Revision: 10_002, Value: []byte("again")}}}, 10_002)
	changes, _, _, ok := c.changesAfter(10_000)
	is.True(ok)
	is.Equal(len(changes), 2)
	is.True(changes[0].Removed)
}

// Guards against an instance that goes on to query watchers which left the view.
func TestWatchersFollowTheView(t *testing.T) {
	is := is.New(t)
	f, members := newFleet(nil, nil, 60)
	follower, asked := f.findFollower(members)
	v := follower.Registry.(*view)
	for range 3 {
		is.Equal(follower.watchersToAsk(), asked)
	}
	for i := range members {
		if members[i].Name != asked[0].Name {
			continue
		}
		v.members = append(append(members[:0:0], members[:i]...), members[i+1:]...)
	}
	for _, m := range follower.watchersToAsk() {
		is.True(m.Name != asked[0].Name)
	}
	// An instance that becomes a watcher has nobody to ask.
	v.members = nil
	for i := range 2 {
		m := v.self
		if i == 1 {
			m.Name = "other"
		}
		v.members = append(v.members, m)
	}
	is.Equal(len(follower.watchersToAsk()), 0)
}

// Guards against instances that keep the values of 10,000 upstreams, 6 MB, although they are too
// small to answer queries, and against followers that get a part of a list from an instance which
// has become eligible.
func TestCopyIsKeptWhileItIsWanted(t *testing.T) {
	is := is.New(t)
	wanted := true
	c := &Copy{Wanted: func() bool { return wanted }}
	c.Apply(listChanges(10, 0), 10)
	is.True(!c.NeedsReload())
	wanted = false
	c.Apply(listChanges(1, 10), 11)
	is.Equal(len(c.items), 0)
	is.True(!c.NeedsReload())
	served := func() bool {
		_, listed := c.listing()
		_, _, _, ok := c.changesAfter(100)
		is.Equal(listed, ok)
		return listed
	}
	is.True(!served())
	wanted = true
	c.Apply(listChanges(1, 11), 12) // only a change: the list is not complete
	is.True(!served())
	is.True(c.NeedsReload())
	wanted = false
	c.Apply(listChanges(1, 12), 13)
	wanted = true
	c.Apply(listChanges(1, 13), 14) // the reload did not take place
	is.True(!served())
	is.True(c.NeedsReload())
	c.Apply(listChanges(10, 14), 24)
	is.True(served())
	is.Equal(len(c.items), 10)
	is.True(!c.NeedsReload())
}

// Guards against watchers that are all in one failure domain, whose loss leaves no follower a watcher,
// although those in other domains work.
func TestWatchersAreInDifferentFailureDomains(t *testing.T) {
	is := is.New(t)
	domains := []int{7, 4, 4, 2}
	for fleet := range 50 {
		var members []registry.Member
		for d, count := range domains {
			for i := range count {
				members = append(members, registry.Member{
					Name:          fmt.Sprintf("f%d-%d-%d", fleet, d, i),
					FailureDomain: fmt.Sprint(d),
				})
			}
		}
		for i := range members {
			r := &Relay{Registry: &view{members: members, self: members[i]}}
			asked := r.watchersToAsk()
			if len(asked) == 0 {
				continue
			}
			is.Equal(len(asked), 2)
			is.True(asked[0].FailureDomain != asked[1].FailureDomain)
		}
	}
	// With more watchers than domains, each domain has its share of them, and the first ones that
	// a follower asks are in different ones.
	members := make([]registry.Member, 170)
	for i := range members {
		members[i] = registry.Member{Name: fmt.Sprint("i", i), FailureDomain: fmt.Sprint(i % 4)}
	}
	byDomain := make(map[string]int)
	for _, m := range Watchers(members) {
		byDomain[m.FailureDomain]++
	}
	for _, n := range byDomain {
		is.True(n == 2 || n == 3)
	}
	for i := range members {
		r := &Relay{Registry: &view{members: members, self: members[i]}}
		seen := make(map[string]bool)
		for _, m := range r.watchersToAsk() {
			is.True(!seen[m.FailureDomain])
			seen[m.FailureDomain] = true
		}
	}
}

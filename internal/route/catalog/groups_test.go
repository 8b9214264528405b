package catalog

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/policy"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

func newGroupsFleet() *Upstreams {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	u := &Upstreams{Timer: clock}
	u.Update([]Entry{
		{ID: "c", Service: "engines", Address: "c", FailureDomain: "z", Slots: 6},
		{ID: "a", Service: "engines", Address: "a", FailureDomain: "z", Slots: 6},
		{ID: "b", Service: "engines", Address: "b", FailureDomain: "z", Slots: 6},
		{ID: "d", Service: "plain", Address: "d", FailureDomain: "z", Slots: 6},
	}, nil)
	return u
}

// Guards against groups that are rebuilt for each change of an entry: 9,000 engines that load
// weights change 2,000 entries a second.
func TestGroupStaysWhileItsUpstreamsStay(t *testing.T) {
	is := is.New(t)
	u := newGroupsFleet()
	engines, plain := u.Group("engines"), u.Group("plain")
	u.Update([]Entry{{ID: "a", Service: "engines", Address: "a", FailureDomain: "z", Versions: map[string]uint64{"m": 2}}}, nil)
	is.True(u.Group("engines") == engines)
	is.Equal(engines.Upstreams[0].ModelVersion("m"), uint64(2))
	u.Update([]Entry{{ID: "d", Service: "plain", Address: "d", FailureDomain: "z", Born: 2}}, nil)
	is.True(u.Group("engines") == engines)
	is.True(u.Group("plain") != plain)
}

// Guards against a group that keeps a removed, replaced or moved upstream, or lacks a new one.
func TestGroupFollowsEachChangeOfItsUpstreams(t *testing.T) {
	is := is.New(t)
	u := newGroupsFleet()
	ids := func(service string) []string {
		var list []string
		for i, x := range u.Group(service).Upstreams {
			list = append(list, x.ID)
			is.True(u.Group(service).Set.Upstreams[i] == x.Upstream)
		}
		return list
	}
	u.Update(nil, []string{"b"})
	is.Equal(ids("engines"), []string{"a", "c"})
	old := u.Group("engines").Upstreams[0]
	u.Update([]Entry{{ID: "a", Service: "engines", Address: "a", FailureDomain: "z", Born: 2}}, nil)
	is.True(u.Group("engines").Upstreams[0] != old) // a new incarnation
	u.Update([]Entry{{ID: "c", Service: "plain", Address: "c", FailureDomain: "z"}}, nil)
	is.Equal(ids("engines"), []string{"a"})
	is.Equal(ids("plain"), []string{"c", "d"})
	before := u.Group("plain")
	u.Update([]Entry{{ID: "d", Service: "plain", Address: "d", FailureDomain: "z", Region: "north"}}, nil)
	is.True(u.Group("plain") != before) // the region decides who may be sent to
	u.Update(nil, []string{"c", "d"})
	is.Equal(len(ids("plain")), 0)
}

// Guards against a request that is sent to the catalog entry of another upstream.
func TestFindReturnsTheUpstreamWithTheState(t *testing.T) {
	is := is.New(t)
	g := newGroupsFleet().Group("engines")
	for _, x := range g.Upstreams {
		is.True(g.Find(x.Upstream) == x)
	}
	is.True(g.Find(&upstream.Upstream{ID: "b"}) == nil) // an earlier incarnation
	is.True(g.Find(&upstream.Upstream{ID: "e"}) == nil)
}

// Guards against a connection for nearly every request of an instance that looks for idle
// connections in the list of the service, and against a request that is sent to an upstream
// which is no longer in the group.
func TestIdleConnectionIsFoundInTheListOfTheService(t *testing.T) {
	is := is.New(t)
	u := newGroupsFleet()
	now := u.Timer.Now()
	choose := func(random uint64) *upstream.Upstream {
		return policy.IdleConnection{}.Choose(u.Group("engines").Set, policy.Query{Random: random, Now: now}).Upstream
	}
	idle := u.Group("engines").Upstreams[1]
	idle.ConnectionIdle(now, time.Minute)
	for random := range uint64(50) {
		is.True(choose(random) == idle.Upstream)
	}
	now = now.Add(time.Hour) // the connection has ended; another is opened
	idle = u.Group("engines").Upstreams[2]
	idle.ConnectionIdle(now, time.Minute)
	for random := range uint64(50) {
		is.True(choose(random) == idle.Upstream)
	}
	// The group no longer has the upstream, although it does not count as leaving.
	u.mu.Lock()
	delete(u.byID, idle.ID)
	u.rebuildGroups(nil)
	u.mu.Unlock()
	for random := range uint64(50) {
		is.True(slices.Contains(u.Group("engines").Set.Upstreams, choose(random)))
	}
}

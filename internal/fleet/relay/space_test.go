package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// view is a fixed set of instances.
type view struct {
	members []registry.Member
	self    registry.Member
}

// Members implements View.
func (v *view) Members() []registry.Member { return v.members }

// Self implements View.
func (v *view) Self() registry.Member { return v.self }

// fleet holds the relays of all instances and connects them.
type fleet struct {
	mu     sync.Mutex
	relays map[string]*Space
	silent map[string]bool
	polls  int
}

// Poll implements Peers.
func (f *fleet) Poll(ctx context.Context, address string, q Query) (Reply, error) {
	f.mu.Lock()
	s, silent := f.relays[address], f.silent[address]
	f.polls++
	f.mu.Unlock()
	if silent {
		return Reply{}, errors.New("no answer")
	}
	var r Reply
	err := (&Server{space: s}).Poll(&q, &r)
	return r, errors.Join(err, ctx.Err())
}

// List implements Peers.
func (f *fleet) List(ctx context.Context, address, prefix string) (Whole, error) {
	f.mu.Lock()
	s, silent := f.relays[address], f.silent[address]
	f.mu.Unlock()
	if silent {
		return Whole{}, errors.New("no answer")
	}
	var w Whole
	err := (&Server{space: s}).List(&prefix, &w)
	return w, errors.Join(err, ctx.Err())
}

// newFleet makes n instances, each with a copy of prefix "p/".
func newFleet(clock timer.Service, store *space.Space, n int) (*fleet, []registry.Member) {
	f := &fleet{
		relays: make(map[string]*Space),
		silent: make(map[string]bool),
	}
	var members []registry.Member
	for i := range n {
		name := fmt.Sprint("i", i)
		members = append(members, registry.Member{
			Name:        name,
			PeerAddress: name,
		})
	}
	for _, m := range members {
		s := &Space{
			Space: store,
			Registry: &view{
				members: members,
				self:    m,
			},
			Peers: f,
			Timer: clock,
			Hears: func() bool { return true },
		}
		s.Copy("p/").Take(nil, 1)
		f.relays[m.Name] = s
	}
	return f, members
}

// run lets a clock run until the test ends.
func run(t *testing.T, clock *timer.Manual) {
	t.Cleanup(clock.Run(20*time.Millisecond, time.Millisecond))
}

// followerOf returns an instance that is no watcher, and its watchers in order.
func (f *fleet) followerOf(members []registry.Member) (*Space, []registry.Member) {
	for _, m := range members {
		if asked := f.relays[m.Name].ask(); len(asked) > 0 {
			return f.relays[m.Name], asked
		}
	}
	return nil, nil
}

// newStore returns a service on a clock that runs until the test ends.
func newStore(t *testing.T) (*timer.Manual, *space.Space) {
	clock := &timer.Manual{}
	run(t, clock)
	return clock, &space.Space{
		Timer: clock,
	}
}

func change(key string, revision uint64) []keyvalue.Change {
	return []keyvalue.Change{{
		Item: keyvalue.Item{
			Key:      key,
			Revision: revision,
		},
	}}
}

// Twenty instances watch the list of upstreams while weights move: each change
// would be a priced call of all of them. Only the watchers ask the service.
func TestFollowersHearFromWatchers(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	f, members := newFleet(clock, store, 20)
	is.Equal(len(Watchers(members)), 2) // one for up to 24 instances, and a spare one
	follower, asked := f.followerOf(members)
	f.relays[asked[0].Name].copies["p/"].Take(change("p/a", 7), 7)
	changes, revision, err := follower.Watch(context.Background(), "p/", 1, time.Minute)
	is.NoErr(err)
	is.Equal(len(changes), 1)
	is.Equal(revision, uint64(7))
	is.Equal(store.Calls(space.Watch), 0)
}

// A watcher falls silent, or is cut off from the service itself. Its followers
// must not stay with what it knew: a removed route would be served by them.
func TestSilentOrDeafWatchersAreLeft(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	f, members := newFleet(clock, store, 20)
	follower, asked := f.followerOf(members)
	f.silent[asked[0].Name] = true
	var deaf atomic.Bool
	f.relays[asked[1].Name].Hears = func() bool { return !deaf.Load() }
	f.relays[asked[1].Name].copies["p/"].Take(change("p/a", 7), 7)
	changes, _, err := follower.Watch(context.Background(), "p/", 1, time.Minute)
	is.NoErr(err)
	is.Equal(len(changes), 1) // from the second one

	deaf.Store(true)
	_, err = store.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: "p/b", Value: []byte("v")},
		},
	})
	is.NoErr(err)
	changes = nil
	for len(changes) == 0 {
		changes, _, err = follower.Watch(context.Background(), "p/", 1, time.Minute)
		is.NoErr(err)
	}
	is.Equal(changes[0].Key, "p/b") // from the service itself
}

// An instance was away longer than the watcher's copy reaches back. It must list
// the whole prefix: what was removed meanwhile shows in no later change.
func TestWhoIsTooFarBehindLists(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	f, members := newFleet(clock, store, 20)
	follower, asked := f.followerOf(members)
	c := f.relays[asked[0].Name].copies["p/"]
	for i := range uint64(keptChanges + 10) {
		c.Take(change("p/a", 10+i), 10+i)
	}
	_, _, err := follower.Watch(context.Background(), "p/", 2, time.Minute)
	is.True(errors.Is(err, keyvalue.ErrCompacted))
}

// All instances of a fleet start again after a power loss, and each reads the
// configuration, the upstreams and the instances. At a hundred instances these
// listings were a third of all calls of a day; only watchers make them.
func TestFollowersListAtWatchers(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock, store := newStore(t)
	rev, err := store.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: "p/a", Value: []byte("v")},
		},
	})
	is.NoErr(err)
	f, members := newFleet(clock, store, 20)
	follower, asked := f.followerOf(members)
	for _, m := range asked {
		f.relays[m.Name].copies["p/"].Take([]keyvalue.Change{
			{Item: keyvalue.Item{Key: "p/a", Value: []byte("v"), Revision: rev}},
			{Item: keyvalue.Item{Key: "p/gone", Revision: rev}, Removed: true},
		}, rev)
	}
	l, err := follower.Range(ctx, "p/", keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(len(l.Items), 1)
	is.Equal(string(l.Items[0].Value), "v")
	is.Equal(l.Revision, rev)
	is.Equal(store.Calls(space.Range), 0)

	// A follower that has heard more than its watchers know asks the service:
	// what is missing from an older listing would count as removed.
	follower.follow.hear("p/", rev+5)
	_, err = follower.Range(ctx, "p/", keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(store.Calls(space.Range), 1)

	// So does one whose watchers don't surely hear the service.
	deaf, asked := f.followerOf(members)
	for _, m := range asked {
		f.relays[m.Name].Hears = func() bool { return false }
	}
	_, err = deaf.Range(ctx, "p/", keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(store.Calls(space.Range), 2)
}

// The service turns a third of all instances away, most of the watchers among
// them. Their followers went to the service themselves, a call for each prefix in
// each second, or asked the deaf watchers in a loop without a pause.
func TestDeafWatchersSendNobodyToTheService(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	f, members := newFleet(clock, store, 80)
	follower, asked := f.followerOf(members)
	is.True(len(asked) > 2)
	for _, m := range asked[:len(asked)-1] {
		f.relays[m.Name].Hears = func() bool { return false }
	}
	began := clock.Now()
	for range 3 {
		_, _, err := follower.Watch(context.Background(), "p/", 1, time.Minute)
		is.NoErr(err)
	}
	is.True(clock.Now().Sub(began) >= 2*relayWait) // the one that hears lets it wait
	is.Equal(store.Calls(space.Watch)+store.Calls(space.Range), 0)
}

// Guards against a confirmation that counts from its answer, long after its source was confirmed.
func TestFollowersLearnWhenACopyWasCurrent(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	clock.Advance(time.Hour)
	f, members := newFleet(clock, store, 20)
	follower, asked := f.followerOf(members)
	var revision uint64
	var at timer.Instant
	follower.Confirmed = func(_ string, r uint64, i timer.Instant) { revision, at = r, i }
	confirmed := clock.Now().Add(-2 * time.Second)
	c := f.relays[asked[0].Name].copies["p/"]
	c.Confirm(confirmed, 6)
	c.Confirm(confirmed.Add(-time.Second), 5) // an older one changes nothing
	c.Take(change("p/a", 7), 7)
	_, _, err := follower.Watch(context.Background(), "p/", 1, time.Minute)
	is.NoErr(err)
	is.Equal(revision, uint64(6))
	is.True(at <= confirmed) // never later than the watcher's own
	is.True(confirmed.Sub(at) < time.Second)
}

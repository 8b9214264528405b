package watchrelay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// view is a fixed set of instances.
type view struct {
	members []registry.Member
	self    registry.Member
}

// Members implements Membership.
func (v *view) Members() []registry.Member { return v.members }

// Self implements Membership.
func (v *view) Self() registry.Member { return v.self }

// fleet implements Peers by calling the relays of all instances directly.
type fleet struct {
	mu          sync.Mutex
	relays      map[string]*Relay
	unreachable map[string]bool
	polls       int
}

// Poll implements Peers.
func (f *fleet) Poll(ctx context.Context, address string, q Query) (Reply, error) {
	f.mu.Lock()
	relay, unreachable := f.relays[address], f.unreachable[address]
	f.polls++
	f.mu.Unlock()
	if unreachable {
		return Reply{}, errors.New("no answer")
	}
	var reply Reply
	err := (&Server{relay: relay}).Poll(&q, &reply)
	return reply, errors.Join(err, ctx.Err())
}

// List implements Peers.
func (f *fleet) List(ctx context.Context, address, prefix string) (ListReply, error) {
	f.mu.Lock()
	relay, unreachable := f.relays[address], f.unreachable[address]
	f.mu.Unlock()
	if unreachable {
		return ListReply{}, errors.New("no answer")
	}
	var reply ListReply
	err := (&Server{relay: relay}).List(&prefix, &reply)
	return reply, errors.Join(err, ctx.Err())
}

// newFleet returns a fleet of n instances, each with a loaded copy of prefix "p/".
func newFleet(clock timer.Service, store *memorystore.Store, n int) (*fleet, []registry.Member) {
	f := &fleet{
		relays:      make(map[string]*Relay),
		unreachable: make(map[string]bool),
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
		relay := &Relay{
			TransactionalStore: store,
			Registry: &view{
				members: members,
				self:    m,
			},
			Peers:     f,
			Timer:     clock,
			Connected: func() bool { return true },
		}
		relay.AddCopy("p/").Apply(nil, 1)
		f.relays[m.Name] = relay
	}
	return f, members
}

// runClock advances a clock until the test ends.
func runClock(t *testing.T, clock *timer.Manual) {
	t.Cleanup(clock.Run(20*time.Millisecond, time.Millisecond))
}

// findFollower returns a follower and the watchers that it asks, in order.
func (f *fleet) findFollower(members []registry.Member) (*Relay, []registry.Member) {
	for _, m := range members {
		if asked := f.relays[m.Name].watchersToAsk(); len(asked) > 0 {
			return f.relays[m.Name], asked
		}
	}
	return nil, nil
}

// newStore returns a key-value service and its clock, which runs until the test ends.
func newStore(t *testing.T) (*timer.Manual, *memorystore.Store) {
	clock := &timer.Manual{}
	runClock(t, clock)
	return clock, &memorystore.Store{
		Timer: clock,
	}
}

// putChange returns the change of one key at a revision.
func putChange(key string, revision uint64) []keyvalue.Change {
	return []keyvalue.Change{{
		Item: keyvalue.Item{
			Key:      key,
			Revision: revision,
		},
	}}
}

// Guards against a billed watch of the service by every one of twenty instances for
// each change of the list of upstreams: only the watchers call the service.
func TestFollowersPollWatchers(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	f, members := newFleet(clock, store, 20)
	is.Equal(len(Watchers(members)), 2) // one for up to 24 instances, and a spare one
	follower, asked := f.findFollower(members)
	f.relays[asked[0].Name].copies["p/"].Apply(putChange("p/a", 7), 7)
	changes, revision, err := follower.Watch(context.Background(), "p/", 1, time.Minute)
	is.NoErr(err)
	is.Equal(len(changes), 1)
	is.Equal(revision, uint64(7))
	is.Equal(store.CallCount(memorystore.Watch), 0)
}

// Guards against followers that stay with a watcher that no longer answers or has
// lost the service: they would go on serving a route that was removed.
func TestFollowersLeaveFailedWatchers(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	f, members := newFleet(clock, store, 20)
	follower, asked := f.findFollower(members)
	f.unreachable[asked[0].Name] = true
	var disconnected atomic.Bool
	f.relays[asked[1].Name].Connected = func() bool { return !disconnected.Load() }
	f.relays[asked[1].Name].copies["p/"].Apply(putChange("p/a", 7), 7)
	changes, _, err := follower.Watch(context.Background(), "p/", 1, time.Minute)
	is.NoErr(err)
	is.Equal(len(changes), 1) // from the second watcher

	disconnected.Store(true)
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

// Guards against a follower that was away longer than the watcher's copy reaches
// back and only gets the later changes: it would miss removals, and so has to list
// the whole prefix again.
func TestFollowerTooFarBehindListsAgain(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	f, members := newFleet(clock, store, 20)
	follower, asked := f.findFollower(members)
	c := f.relays[asked[0].Name].copies["p/"]
	for i := range uint64(maxKeptChanges + 10) {
		c.Apply(putChange("p/a", 10+i), 10+i)
	}
	_, _, err := follower.Watch(context.Background(), "p/", 2, time.Minute)
	is.True(errors.Is(err, keyvalue.ErrCompacted))
}

// Guards against listings of the service by all instances when a fleet restarts after
// a power loss and each instance reads the configuration, the upstreams and the
// instances. At a hundred instances such listings were a third of all calls of a day.
func TestFollowersListFromWatchers(t *testing.T) {
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
	follower, asked := f.findFollower(members)
	for _, m := range asked {
		f.relays[m.Name].copies["p/"].Apply([]keyvalue.Change{
			{Item: keyvalue.Item{Key: "p/a", Value: []byte("v"), Revision: rev}},
			{Item: keyvalue.Item{Key: "p/gone", Revision: rev}, Removed: true},
		}, rev)
	}
	listing, err := follower.Range(ctx, "p/", keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(len(listing.Items), 1)
	is.Equal(string(listing.Items[0].Value), "v")
	is.Equal(listing.Revision, rev)
	is.Equal(store.CallCount(memorystore.Range), 0)

	// A follower that has read a newer revision than its watchers asks the service:
	// items missing from an older listing would count as removed.
	follower.poller.recordRevision("p/", rev+5)
	_, err = follower.Range(ctx, "p/", keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(store.CallCount(memorystore.Range), 1)

	// So does a follower whose watchers have lost the service.
	disconnected, asked := f.findFollower(members)
	for _, m := range asked {
		f.relays[m.Name].Connected = func() bool { return false }
	}
	_, err = disconnected.Range(ctx, "p/", keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(store.CallCount(memorystore.Range), 2)
}

// The service rejects the calls of a third of all instances, most of the watchers
// among them. Guards against followers that then call the service themselves, once a
// second for each prefix, or query the disconnected watchers in a loop without a pause.
func TestFollowersFindTheConnectedWatcher(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	f, members := newFleet(clock, store, 80)
	follower, asked := f.findFollower(members)
	is.True(len(asked) > 2)
	for _, m := range asked[:len(asked)-1] {
		f.relays[m.Name].Connected = func() bool { return false }
	}
	began := clock.Now()
	for range 3 {
		_, _, err := follower.Watch(context.Background(), "p/", 1, time.Minute)
		is.NoErr(err)
	}
	is.True(clock.Now().Sub(began) >= 2*follower.pollWait()) // the connected watcher answers only after the wait
	is.Equal(store.CallCount(memorystore.Watch)+store.CallCount(memorystore.Range), 0)
}

// Guards against a confirmation that is dated by the arrival of the watcher's answer,
// which may be long after the watcher's copy was confirmed.
func TestFollowersLearnWhenCopyWasCurrent(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	clock.Advance(time.Hour)
	f, members := newFleet(clock, store, 20)
	follower, asked := f.findFollower(members)
	var revision uint64
	var at timer.Instant
	follower.OnConfirmed = func(_ string, r uint64, i timer.Instant) { revision, at = r, i }
	confirmed := clock.Now().Add(-2 * time.Second)
	c := f.relays[asked[0].Name].copies["p/"]
	c.Confirm(confirmed, 6)
	c.Confirm(confirmed.Add(-time.Second), 5) // an older confirmation has no effect
	c.Apply(putChange("p/a", 7), 7)
	_, _, err := follower.Watch(context.Background(), "p/", 1, time.Minute)
	is.NoErr(err)
	is.Equal(revision, uint64(6))
	is.True(at <= confirmed) // never later than at the watcher
	is.True(confirmed.Sub(at) < time.Second)
}

// Guards against a change of the last copied prefix that a waiting query does not learn of before
// its wait ends, so that an evacuation reaches a follower a second later.
func TestQueryWakesForEveryCopy(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	fleet, members := newFleet(clock, &memorystore.Store{Timer: clock}, 1)
	relay := fleet.relays[members[0].PeerAddress]
	q := &Query{
		After:  make(map[string]uint64),
		WaitMS: relay.pollWait().Milliseconds(),
	}
	for i := range maxCopies {
		prefix := fmt.Sprint("copy", i, "/")
		relay.AddCopy(prefix).Apply(nil, 1)
		q.After[prefix] = 1
	}
	for prefix := range q.After {
		relay.EndWaits()
		var reply Reply
		ended := make(chan error)
		go func() { ended <- (&Server{relay: relay}).Poll(q, &reply) }()
		is.True(timer.Poll(timer.Real{}, time.Millisecond, 5*time.Second, nil, func() bool {
			relay.copies[prefix].mu.Lock()
			defer relay.copies[prefix].mu.Unlock()
			return relay.copies[prefix].nextChange != nil
		}))
		relay.copies[prefix].Apply(putChange(prefix, 2), 2)
		is.NoErr(<-ended)
		is.Equal(len(reply.News[prefix].Changes), 1)
		q.After[prefix] = 2
	}
}

// Guards against followers that read the service themselves although their watcher has confirmed its
// copy just now, because its answer comes at the end of their wait.
func TestConfirmationReachesWaitingFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := bubbleClock{}
		fleet, members := newFleet(clock, &memorystore.Store{Timer: clock}, 20)
		follower, asked := fleet.findFollower(members)
		var confirmedAt timer.Instant
		follower.OnConfirmed = func(_ string, _ uint64, at timer.Instant) { confirmedAt = at }
		ended := make(chan time.Time)
		go func() {
			_, _, err := follower.Watch(context.Background(), "p/", 1, time.Minute)
			is.NoErr(err)
			ended <- time.Now()
		}()
		time.Sleep(100 * time.Millisecond)
		confirmed := clock.Now()
		fleet.relays[asked[0].Name].copies["p/"].Confirm(confirmed, 1)
		is.Equal((<-ended).UnixNano(), int64(confirmed))
		time.Sleep(time.Minute) // the query in progress ends
		synctest.Wait()
		is.Equal(confirmedAt, confirmed)
	})
}

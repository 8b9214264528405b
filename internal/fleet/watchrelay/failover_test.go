package watchrelay

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/mirror"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// changeBound is the shortest time of any deployment within which a change must be in force
// everywhere.
const changeBound = 2 * time.Second

// bubbleClock is a timer.Service on the clock of package time, which synctest controls.
type bubbleClock struct{ timer.Real }

// Now implements timer.Service.
func (bubbleClock) Now() timer.Instant { return timer.Instant(time.Now().UnixNano()) }

// lossyFleet is a fleet whose watchers may fall silent: calls to them end at their deadline.
type lossyFleet struct {
	*fleet
	store    *memorystore.Store
	follower *Relay
	asked    []registry.Member
	silent   map[string]*atomic.Bool
	key      int
}

// newLossyFleet returns a fleet of n instances and a follower in it. It must be called in a bubble of
// synctest.
func newLossyFleet(n int) *lossyFleet {
	clock := bubbleClock{}
	f := &lossyFleet{
		store:  &memorystore.Store{Timer: clock},
		silent: make(map[string]*atomic.Bool),
	}
	fleet, members := newFleet(clock, f.store, n)
	f.fleet = fleet
	f.follower, f.asked = fleet.findFollower(members)
	f.follower.Peers = f
	for _, m := range members {
		f.silent[m.PeerAddress] = &atomic.Bool{}
	}
	return f
}

// Poll implements Peers.
func (f *lossyFleet) Poll(ctx context.Context, address string, q Query) (Reply, error) {
	reply, err := Reply{}, error(nil)
	if !f.silent[address].Load() {
		reply, err = f.fleet.Poll(ctx, address, q)
	}
	return reply, f.awaitDeadline(ctx, address, err)
}

// List implements Peers.
func (f *lossyFleet) List(ctx context.Context, address, prefix string) (ListReply, error) {
	reply, err := ListReply{}, error(nil)
	if !f.silent[address].Load() {
		reply, err = f.fleet.List(ctx, address, prefix)
	}
	return reply, f.awaitDeadline(ctx, address, err)
}

// awaitDeadline returns the end of a call to a silent instance, which is its deadline, and err for
// any other.
func (f *lossyFleet) awaitDeadline(ctx context.Context, address string, err error) error {
	if !f.silent[address].Load() {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// silence makes the first n watchers that the follower asks silent.
func (f *lossyFleet) silence(n int) {
	for _, m := range f.asked[:n] {
		f.silent[m.PeerAddress].Store(true)
	}
}

// commit writes a new key, which the watchers that are not silent learn at once, and returns it.
func (f *lossyFleet) commit(is *is.I) string {
	f.key++
	key := fmt.Sprint("p/", f.key)
	revision, err := f.store.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{{Key: key, Value: []byte("v")}},
	})
	is.NoErr(err)
	for _, m := range f.asked {
		if !f.silent[m.PeerAddress].Load() {
			f.relays[m.Name].copies["p/"].Apply([]keyvalue.Change{{Item: keyvalue.Item{Key: key, Value: []byte("v"), Revision: revision}}}, revision)
		}
	}
	return key
}

// measureDelay returns the longest time that a change takes to the follower if its first watchers
// fall silent the given time after a change, and more changes follow each half second.
func measureDelay(is *is.I, instances, silent int, after time.Duration) time.Duration {
	f := newLossyFleet(instances)
	committed := make(map[string]time.Time)
	type arrival struct {
		key string
		at  time.Time
	}
	arrivals := make(chan arrival, 100)
	m := &mirror.Mirror{
		Store:  f.follower,
		Prefix: "p/",
		Timer:  bubbleClock{},
		OnChange: func(changes []keyvalue.Change) {
			for _, c := range changes {
				arrivals <- arrival{c.Key, time.Now()}
			}
		},
	}
	var t tomb.Tomb
	t.Go(func() error { return m.Run(&t) })
	time.Sleep(5 * time.Second)
	committed[f.commit(is)] = time.Now()
	time.Sleep(after)
	f.silence(silent)
	longest := time.Duration(0)
	for next := time.Now(); len(committed) > 0; {
		select {
		case a := <-arrivals:
			longest = max(longest, a.at.Sub(committed[a.key]))
			delete(committed, a.key)
		case <-time.After(time.Until(next)):
			if f.key < 12 {
				committed[f.commit(is)] = time.Now()
				next = time.Now().Add(500 * time.Millisecond)
			} else {
				next = time.Now().Add(time.Minute)
			}
		}
	}
	t.Kill(nil)
	is.NoErr(t.Wait())
	time.Sleep(time.Minute) // the query in progress ends
	return longest
}

// Guards against a change that takes longer than allowed to instances that are sound themselves,
// because most others fall silent at once and they ask them one after the other.
func TestChangeArrivesInTimeThoughWatchersFallSilent(t *testing.T) {
	for _, instances := range []int{17, 170, 300, 1100} {
		_, members := newFleet(nil, nil, instances)
		asked := min(maxWatchersAsked, len(Watchers(members)))
		for silent := range asked + 1 {
			longest, worstAfter := time.Duration(0), time.Duration(0)
			for after := time.Duration(0); after < 1500*time.Millisecond; after += 50 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					if d := measureDelay(is.New(t), instances, silent, after); d > longest {
						longest, worstAfter = d, after
					}
				})
			}
			t.Logf("%d instances, %d of %d watchers silent: %s", instances, silent, asked, longest)
			if longest > changeBound {
				t.Errorf("%d instances, %d of %d watchers silent %s after a change: a later change took %s, allowed are %s",
					instances, silent, asked, worstAfter, longest, changeBound)
			}
		}
	}
}

// Guards against a sum of times that is within the bound only while each step is quick, or that keeps to
// a constant in place of the bound of the settings.
func TestTimesOfAFailoverKeepToTheBound(t *testing.T) {
	is := is.New(t)
	for _, bound := range []time.Duration{0, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, 11 * time.Second} {
		r := &Relay{Bound: bound}
		if bound == 0 {
			bound = defaultBound
		}
		is.True(coalesceDelay+r.pollWait()+2*r.pollSlack()+serviceTime <= bound)
		is.True(r.pollWait() <= maxPollWait)
	}
}

// Guards against a listing that never reaches the service, because the watchers that are asked before
// it are silent and use up the time of the caller.
func TestListingReachesTheServiceThoughWatchersAreSilent(t *testing.T) {
	for _, instances := range []int{17, 170} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newLossyFleet(instances)
			f.silence(len(f.asked))
			key := f.commit(is)
			ctx, cancel := context.WithTimeout(context.Background(), changeBound)
			defer cancel()
			listing, err := f.follower.Range(ctx, "p/", keyvalue.Fresh)
			is.NoErr(err)
			is.NoErr(ctx.Err()) // the service was asked in time
			is.Equal(len(listing.Items), 1)
			is.Equal(listing.Items[0].Key, key)
		})
	}
}

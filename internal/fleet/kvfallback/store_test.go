package kvfallback

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// peersStub implements Peers: it makes all calls to one service, or fails them.
type peersStub struct {
	store keyvalue.TransactionalStore
	calls int
	fail  error
	// through holds the address of each call.
	through []string
}

// Call implements Peers.
func (p *peersStub) Call(ctx context.Context, address string, c Call) (Reply, error) {
	p.calls++
	p.through = append(p.through, address)
	if p.fail != nil {
		return Reply{}, p.fail
	}
	return c.MakeAt(ctx, p.store), nil
}

// newDownStore returns a service that is down for all calls.
func newDownStore(clock timer.Service) *memorystore.Store {
	return &memorystore.Store{
		Timer: clock,
		Fault: func(memorystore.Operation) memorystore.Fault { return memorystore.Down },
	}
}

// newTestStore returns a Store with one service on the direct path and another one
// behind its peers.
func newTestStore(clock timer.Service, direct, elsewhere *memorystore.Store) (*Store, *peersStub) {
	peers := &peersStub{
		store: elsewhere,
	}
	return &Store{
		Direct:        direct,
		Peers:         peers,
		PeerAddresses: func() []string { return []string{"one", "two", "three", "four", "five"} },
		Timer:         clock,
	}, peers
}

// The service rejects the calls of one instance and serves the others. Guards against
// an instance that then refuses the batches submitted to it, although any other
// instance could store them.
func TestCallsFallBackToPeers(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &memorystore.Store{
		Timer: clock,
	}
	down := newDownStore(clock)
	s, peers := newTestStore(clock, down, store)
	rev, err := s.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: "k", Value: []byte("v")},
		},
	})
	is.NoErr(err)
	item, err := s.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(item.Revision, rev)
	is.Equal(peers.calls, 2)
	// The failed path is not tried again at once.
	is.Equal(down.CallCount(memorystore.Commit)+down.CallCount(memorystore.Get), 1)
	clock.Advance(directRetryInterval)
	down.Fault = nil
	_, err = s.Get(ctx, "other")
	is.True(errors.Is(err, keyvalue.ErrNotFound))
	is.True(s.DirectOK()) // the direct path was tried again
}

// The service is down for all instances. Every call is billed, even one that is not
// answered. Guards against instances that keep calling: that would cost more than all
// calls of a normal day.
func TestCallsPauseWhenAllPathsFail(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	down := newDownStore(clock)
	s, peers := newTestStore(clock, down, down)
	for range 50 {
		_, err := s.Get(ctx, "k")
		is.True(errors.Is(err, keyvalue.ErrUnavailable))
	}
	is.Equal(peers.calls, maxPeersTried)
	is.Equal(down.CallCount(memorystore.Get), 1+maxPeersTried)
}

// The answer to a write is lost, and the other paths are down. The write may have taken
// effect. Guards against reporting it as not done: a trainer would be told "not run"
// for a batch that runs all the same.
func TestLostAnswerIsNotReportedAsDown(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	lossy := &memorystore.Store{
		Timer: clock,
		Fault: func(memorystore.Operation) memorystore.Fault { return memorystore.LostAfter },
	}
	s, peers := newTestStore(clock, lossy, lossy)
	peers.fail = keyvalue.ErrUnavailable
	_, err := s.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: "k", Value: []byte("v")},
		},
	})
	is.True(errors.Is(err, keyvalue.ErrOutcomeUnknown))
}

// Guards against a conflict that loses its items on the way through another instance:
// callers read them to see which item caused it.
func TestPeersPassOnConflicts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &memorystore.Store{
		Timer: clock,
	}
	down := newDownStore(clock)
	s, _ := newTestStore(clock, down, store)
	tx := keyvalue.Transaction{
		Expects: []keyvalue.Condition{
			{Key: "k"},
		},
		Writes: []keyvalue.Write{
			{Key: "k", Value: []byte("v")},
		},
	}
	_, err := s.Commit(ctx, tx)
	is.NoErr(err)
	_, err = s.Commit(ctx, tx)
	var conflict *keyvalue.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(string(conflict.Item("k").Value), "v")
}

// An instance is partitioned, and its watches wait on a dead connection without an
// error. Guards against watches that stay there: a failed call on the direct path must
// end them, so that their callers start again.
func TestWatchesEndWhenDirectPathFails(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	var fails atomic.Bool
	store := &memorystore.Store{
		Timer: clock,
		Fault: func(c memorystore.Operation) memorystore.Fault {
			if c != memorystore.Watch && fails.Load() {
				return memorystore.LostBefore
			}
			return memorystore.None
		},
	}
	s, peers := newTestStore(clock, store, store)
	peers.fail = keyvalue.ErrUnavailable
	ended := make(chan error, 1)
	go func() {
		_, _, err := s.Watch(context.Background(), "p/", 1, time.Hour)
		ended <- err
	}()
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 10*time.Second, nil, func() bool { return store.CallCount(memorystore.Watch) > 0 }))
	fails.Store(true)
	_, err := s.Get(context.Background(), "k")
	is.True(errors.Is(err, keyvalue.ErrOutcomeUnknown))
	limit := timer.Real{}.Once(10 * time.Second)
	defer limit.Close()
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-limit.C:
		t.Fatal("the watch still waits")
	}
}

// Guards against the contents of a batch that pass through an instance in a region that is not
// allowed, on their way to the service.
func TestConfinedCallsUseOnlySomePeers(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	s, peers := newTestStore(clock, newDownStore(clock), &memorystore.Store{Timer: clock})
	allowed := []string{}
	s.ConfinedTo = func(key string) ([]string, bool) { return allowed, key == "body" }
	put := func(key string) error {
		_, err := s.Commit(context.Background(), keyvalue.Transaction{Writes: []keyvalue.Write{{Key: "claim"}, {Key: key}}})
		return err
	}
	is.True(put("body") != nil)
	is.Equal(peers.calls, 0)
	is.NoErr(put("other")) // other calls are not held up
	allowed = []string{"near"}
	peers.through = nil
	is.NoErr(put("body"))
	is.Equal(peers.through, []string{"near"})
}

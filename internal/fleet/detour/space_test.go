package detour

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// loop hands calls to other instances that reach the same service.
type loop struct {
	space keyvalue.Space
	calls int
	fail  error
}

// Call implements Peers.
func (l *loop) Call(ctx context.Context, _ string, c Call) (Answer, error) {
	l.calls++
	if l.fail != nil {
		return Answer{}, l.fail
	}
	return c.At(ctx, l.space), nil
}

// newShut returns a service that refuses all calls.
func newShut(clock timer.Service) *space.Space {
	return &space.Space{
		Timer: clock,
		Fault: func(space.Call) space.Fault { return space.Down },
	}
}

func newSpace(clock timer.Service, direct, elsewhere *space.Space) (*Space, *loop) {
	peers := &loop{
		space: elsewhere,
	}
	return &Space{
		Direct: direct,
		Peers:  peers,
		Others: func() []string { return []string{"one", "two", "three", "four", "five"} },
		Timer:  clock,
	}, peers
}

// The service turns one instance away and serves the others. Batches that are
// handed in there would be refused, though any other instance could store them.
func TestCallsGoThroughOthers(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &space.Space{
		Timer: clock,
	}
	shut := newShut(clock)
	s, peers := newSpace(clock, shut, store)
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
	is.Equal(shut.Calls(space.Commit)+shut.Calls(space.Get), 1) // the bad way is left alone for a while
	clock.Advance(badFor)
	shut.Fault = nil
	_, err = s.Get(ctx, "other")
	is.True(errors.Is(err, keyvalue.ErrNotFound))
	is.True(s.Good()) // and tried again
}

// The service is down for all. Every call is priced, also one that is not
// answered; instances that kept asking would cost more than a day's work.
func TestAllWaysRestInAnOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	shut := newShut(clock)
	s, peers := newSpace(clock, shut, shut)
	for range 50 {
		_, err := s.Get(ctx, "k")
		is.True(errors.Is(err, keyvalue.ErrDown))
	}
	is.Equal(peers.calls, triesThrough)
	is.Equal(shut.Calls(space.Get), 1+triesThrough)
}

// A write goes out and its answer is lost, and the other ways are down. It may
// be done: whoever then told a trainer "not run" would run the batch all the
// same.
func TestLostIsNotDown(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	lossy := &space.Space{
		Timer: clock,
		Fault: func(space.Call) space.Fault { return space.LostAfter },
	}
	s, peers := newSpace(clock, lossy, lossy)
	peers.fail = keyvalue.ErrDown
	_, err := s.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: "k", Value: []byte("v")},
		},
	})
	is.True(errors.Is(err, keyvalue.ErrLost))
}

// A conflict found through another instance says which item stands in the way,
// just as the service itself does.
func TestConflictsTravel(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &space.Space{
		Timer: clock,
	}
	shut := newShut(clock)
	s, _ := newSpace(clock, shut, store)
	tx := keyvalue.Transaction{
		Expects: []keyvalue.Expect{
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

// An instance is partitioned without a sign: its watches wait on a dead
// connection. A call that fails on the way cuts them, so that they begin anew.
func TestWatchesEndWhenTheWayTurnsBad(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	var fails atomic.Bool
	store := &space.Space{
		Timer: clock,
		Fault: func(c space.Call) space.Fault {
			if c != space.Watch && fails.Load() {
				return space.LostBefore
			}
			return space.None
		},
	}
	s, peers := newSpace(clock, store, store)
	peers.fail = keyvalue.ErrDown
	ended := make(chan error, 1)
	go func() {
		_, _, err := s.Watch(context.Background(), "p/", 1, time.Hour)
		ended <- err
	}()
	is.True(timer.Until(timer.Real{}, time.Millisecond, 10*time.Second, nil, func() bool { return store.Calls(space.Watch) > 0 }))
	fails.Store(true)
	_, err := s.Get(context.Background(), "k")
	is.True(errors.Is(err, keyvalue.ErrLost))
	limit := timer.Real{}.Once(10 * time.Second)
	defer limit.Close()
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-limit.C:
		t.Fatal("the watch still waits")
	}
}

package registry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// An instance starts while the service loses answers and carries out writes late.
// Its first write gets no answer, it writes itself under another lease, and then
// the first write is carried out and puts its key back under the lease that nobody
// renews. The key vanishes while the instance renews its lease and takes itself for
// alive: others take over its batches and its duty, and engines hear two holders.
func TestLateWriteDoesNotMoveTheKeyToADeadLease(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	var fault atomic.Int32
	store := &space.Space{
		Timer: clock,
		Fault: func(c space.Call) space.Fault {
			if c == space.Commit {
				return space.Fault(fault.Load())
			}
			return space.None
		},
	}
	r := &Registry{
		Space: store,
		Timer: clock,
	}
	r.SetSelf(Member{
		Name: "a",
	})
	fault.Store(int32(space.Late))
	is.True(r.renew(ctx) != nil)
	fault.Store(int32(space.None))
	is.NoErr(r.renew(ctx))
	store.Settle()
	for range 8 {
		clock.Advance(renewEvery)
		is.NoErr(r.renew(ctx))
	}
	is.True(r.Held())
	_, err := store.Get(ctx, Key("a"))
	is.NoErr(err) // whoever renews its lease is in the view
}

// The answer to an instance's write is lost, though the write was done. Written
// again with the same lease it meets itself, which is no fault.
func TestWriteThatMeetsItselfIsDone(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &space.Space{
		Timer: clock,
	}
	r := &Registry{
		Space: &twice{
			Space: store,
		},
		Timer: clock,
	}
	r.SetSelf(Member{
		Name: "a",
	})
	is.NoErr(r.renew(ctx))
	clock.Advance(time.Second)
	is.NoErr(r.renew(ctx))
	is.True(r.Held())
}

// twice carries each write out two times, as another way does after an answer that
// was lost.
type twice struct{ *space.Space }

// Commit implements keyvalue.Space.
func (s *twice) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	if _, err := s.Space.Commit(ctx, tx); err != nil {
		return 0, err
	}
	return s.Space.Commit(ctx, tx)
}

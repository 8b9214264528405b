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
// Its first write gets no answer, so it writes its entry under another lease.
// If the first write is then carried out and puts the entry back under the lease
// that nobody renews, the entry expires while the instance renews its lease and
// considers itself alive. Other instances take over its batches and its duty, and
// engines get orders from two holders.
func TestLateWriteDoesNotMoveEntryToExpiredLease(t *testing.T) {
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
		clock.Advance(renewPeriod)
		is.NoErr(r.renew(ctx))
	}
	is.True(r.Held())
	_, err := store.Get(ctx, Key("a"))
	is.NoErr(err) // an instance that renews its lease is in the view
}

// The answer to an instance's write is lost although the write was done. The
// write is repeated under the same lease and conflicts with itself, which must not
// be an error.
func TestRepeatedCommitOfSameWriteSucceeds(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &space.Space{
		Timer: clock,
	}
	r := &Registry{
		Space: &doubleCommit{
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

// doubleCommit is a Space that carries out each write twice, as happens when a
// write is repeated by another route after its answer was lost.
type doubleCommit struct{ *space.Space }

// Commit implements keyvalue.Space.
func (s *doubleCommit) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	if _, err := s.Space.Commit(ctx, tx); err != nil {
		return 0, err
	}
	return s.Space.Commit(ctx, tx)
}

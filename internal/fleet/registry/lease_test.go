package registry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
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
	store := &memorystore.Store{
		Timer: clock,
		Fault: func(c memorystore.Operation) memorystore.Fault {
			if c == memorystore.Commit {
				return memorystore.Fault(fault.Load())
			}
			return memorystore.None
		},
	}
	r := &Registry{
		Store: store,
		Timer: clock,
	}
	r.SetSelf(Member{
		Name: "a",
	})
	fault.Store(int32(memorystore.Delayed))
	is.True(r.renew(ctx) != nil)
	fault.Store(int32(memorystore.None))
	is.NoErr(r.renew(ctx))
	store.ApplyDelayed()
	for range 8 {
		clock.Advance(renewPeriod)
		is.NoErr(r.renew(ctx))
	}
	is.True(r.LeaseHeld())
	_, err := store.Get(ctx, InstanceKey("a"))
	is.NoErr(err) // an instance that renews its lease is in the view
}

// The answer to an instance's write is lost although the write was done. The
// write is repeated under the same lease and conflicts with itself, which must not
// be an error.
func TestRepeatedCommitOfSameWriteSucceeds(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &memorystore.Store{
		Timer: clock,
	}
	r := &Registry{
		Store: &doubleCommit{
			Store: store,
		},
		Timer: clock,
	}
	r.SetSelf(Member{
		Name: "a",
	})
	is.NoErr(r.renew(ctx))
	clock.Advance(time.Second)
	is.NoErr(r.renew(ctx))
	is.True(r.LeaseHeld())
}

// doubleCommit is a TransactionalStore that carries out each write twice, as happens when a
// write is repeated by another route after its answer was lost.
type doubleCommit struct{ *memorystore.Store }

// Commit implements keyvalue.TransactionalStore.
func (s *doubleCommit) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	if _, err := s.Store.Commit(ctx, tx); err != nil {
		return 0, err
	}
	return s.Store.Commit(ctx, tx)
}

// Guards against an instance that renews its earlier lease after a write under a shorter one got
// no answer but was done: its entry expires while it considers itself alive.
func TestEntryUnderANewLeaseIsKept(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	var fault atomic.Int32
	store := &memorystore.Store{
		Timer: clock,
		Fault: func(c memorystore.Operation) memorystore.Fault {
			if c == memorystore.Commit {
				return memorystore.Fault(fault.Load())
			}
			return memorystore.None
		},
	}
	r := &Registry{
		Store: store,
		Timer: clock,
	}
	r.SetSelf(Member{
		Name: "a",
	})
	is.NoErr(r.renew(ctx))
	r.ttl.Store(int64(time.Hour)) // it has become eligible since
	fault.Store(int32(memorystore.LostAfter))
	is.True(r.renew(ctx) != nil)
	is.True(!r.LeaseHeld())
	fault.Store(int32(memorystore.None))
	r.ttl.Store(0) // and is not any longer
	for range 8 {
		clock.Advance(renewPeriod)
		is.NoErr(r.renew(ctx))
	}
	_, err := store.Get(ctx, InstanceKey("a"))
	is.NoErr(err)
}

package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/runner"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// latePeers has an owner that does not know its batch when it is first asked, since it is
// just taking the batch over.
type latePeers struct {
	silentPeers
	asked *atomic.Int32
	ended chan struct{}
}

// End implements Peers.
func (l latePeers) End(context.Context, string, string) error {
	if l.asked.Add(1) == 1 {
		return runner.ErrNotRunHere
	}
	l.ended <- struct{}{}
	return nil
}

// Guards against an owner that goes on with an ended batch. All instances are killed, and
// the trainer ends its step while the next owner takes it over. The end is in the ledger,
// but the owner would send items to engines that other batches wait for, for seconds, until
// its next write fails.
func TestNewOwnerIsToldOfTheEnd(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, store := newCoordinator(t, nil)
	other := &ledger.Ledger{
		Store: store,
		Self: ledger.Owner{
			Instance:    "other",
			Incarnation: "1",
		},
	}
	_, err := other.Accept(ctx, &submission.Submission{
		ID: "b",
	})
	is.NoErr(err)
	peers := latePeers{
		asked: &atomic.Int32{},
		ended: make(chan struct{}, 1),
	}
	c.Peers = peers
	is.NoErr(c.End(ctx, "b"))
	<-peers.ended
}

// partitionedPeers has a former owner that does not answer, and a new one that does after
// some attempts.
type partitionedPeers struct {
	silentPeers
	asked *atomic.Int32
	ended chan struct{}
}

// End implements Peers.
func (p partitionedPeers) End(_ context.Context, address, _ string) error {
	if address != "new" || p.asked.Add(1) < 6 {
		return errSilent
	}
	p.ended <- struct{}{}
	return nil
}

// Guards against an end that only the former owner of a batch is told, which is partitioned,
// while the instance that has taken the batch over goes on with it, and against giving up on
// an owner that does not answer for some seconds.
func TestOwnerNamedByTheClaimIsToldOfTheEnd(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, store := newCoordinator(t, nil)
	value, err := json.Marshal(registry.Member{Name: "old", Incarnation: "1"})
	is.NoErr(err)
	_, err = store.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: registry.InstanceKey("old"), Value: value},
		},
	})
	is.NoErr(err)
	var tb tomb.Tomb
	tb.Go(func() error { return c.Registry.Run(&tb) })
	defer func() { tb.Kill(nil); _ = tb.Wait() }()
	c.Registry.AwaitView(&tb, time.Second)
	owners := make(map[string]*ledger.Ledger)
	for _, name := range []string{"old", "new"} {
		owners[name] = &ledger.Ledger{
			Store: store,
			Self:  ledger.Owner{Instance: name, Incarnation: "1", Address: name},
		}
	}
	claim, err := owners["old"].Accept(ctx, &submission.Submission{ID: "b"})
	is.NoErr(err)
	_, err = owners["new"].TakeOver(ctx, claim, "")
	is.NoErr(err)
	c.RecordOwner(OwnerHint{Batch: "b", Owner: claim.Owner})
	peers := partitionedPeers{
		asked: &atomic.Int32{},
		ended: make(chan struct{}, 1),
	}
	c.Peers = peers
	is.NoErr(c.End(ctx, "b"))
	<-peers.ended
	is.NoErr(c.End(ctx, "b")) // repeated by the trainer
}

// A former owner that is not partitioned from the ledger is asked to end a batch that another
// instance has taken over. Guards against an end that the new owner is not told.
func TestFormerOwnerLeavesTheEndToTheLedger(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, store := newCoordinator(t, nil)
	sub := &submission.Submission{
		ID:          "b",
		SubmittedMS: time.Now().UnixMilli(),
		Items:       []submission.Item{{ID: "x", Path: "/x"}},
	}
	is.NoErr(c.Runner.Submit(ctx, sub, catalog.Route{}))
	claim, err := c.Ledger.Find(ctx, "b")
	is.NoErr(err)
	successor := &ledger.Ledger{
		Store: store,
		Self:  ledger.Owner{Instance: "new", Incarnation: "1", Address: "new"},
	}
	_, err = successor.TakeOver(ctx, claim, "")
	is.NoErr(err)
	peers := partitionedPeers{
		asked: &atomic.Int32{},
		ended: make(chan struct{}, 1),
	}
	c.Peers = peers
	is.NoErr(c.End(ctx, "b"))
	<-peers.ended
	is.Equal(c.Runner.Has("b"), false)
}

// Guards against taking over a batch whose end is in the ledger before the next owner has read the batch.
func TestEndedBatchIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, _ := newCoordinator(t, nil)
	claim, err := c.Ledger.Accept(ctx, &submission.Submission{
		ID: "b",
	})
	is.NoErr(err)
	_, err = c.Ledger.End(ctx, "b", time.Now())
	is.NoErr(err)
	c.Runner.Configuration.Update(catalog.Configuration{
		Version: 1,
	}.WithIndex())
	is.True(errors.Is(c.Runner.Adopt(ctx, claim), ledger.ErrFenced))
	is.Equal(c.Runner.Has("b"), false)
}

// endingStore calls onRead once, after the next listing and before the caller gets it.
type endingStore struct {
	keyvalue.TransactionalStore
	onRead func()
}

// Range implements keyvalue.TransactionalStore.
func (s *endingStore) Range(ctx context.Context, prefix string, consistency keyvalue.Consistency) (keyvalue.Listing, error) {
	listing, err := s.TransactionalStore.Range(ctx, prefix, consistency)
	if s.onRead != nil {
		onRead := s.onRead
		s.onRead = nil
		onRead()
	}
	return listing, err
}

// Guards against a batch that goes on at an instance which has read it, and not yet begun it,
// when its end arrives there.
func TestEndDuringTakeOverStopsTheBatch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, store := newCoordinator(t, nil)
	c.Runner.Configuration.Update(catalog.Configuration{
		Version: 1,
	}.WithIndex())
	claim, err := c.Ledger.Accept(ctx, &submission.Submission{
		ID:          "b",
		SubmittedMS: time.Now().UnixMilli(),
		Items:       []submission.Item{{ID: "x", Path: "/x"}},
	})
	is.NoErr(err)
	c.Ledger.Store = &endingStore{
		TransactionalStore: store,
		onRead:             func() { is.NoErr(c.End(ctx, "b")) },
	}
	is.NoErr(c.Runner.Adopt(ctx, claim))
	is.True(eventually(func() bool { return len(c.Runner.Claims()) == 0 }))
	is.NoErr(c.End(ctx, "b"))
}

package coordinator

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/runner"
	"github.com/egretbend/egretbend/internal/batch/submission"
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

// The same, but the end is in the ledger before the next owner has read the batch.
func TestEndedBatchIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, _ := newCoordinator(t, nil)
	claim, err := c.Ledger.Accept(ctx, &submission.Submission{
		ID: "b",
	})
	is.NoErr(err)
	is.NoErr(c.Ledger.End(ctx, "b", time.Now()))
	c.Runner.Configuration.Update(catalog.Configuration{
		Version: 1,
	}.WithIndex())
	is.True(errors.Is(c.Runner.Adopt(ctx, claim), ledger.ErrFenced))
	is.Equal(c.Runner.Has("b"), false)
}

package desk

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

// late is an owner that does not know of its batch when it is asked first, as it is
// just taking it over.
type late struct {
	silent
	asked *atomic.Int32
	ended chan struct{}
}

// End implements Peers.
func (l late) End(context.Context, string, string) error {
	if l.asked.Add(1) == 1 {
		return runner.ErrNotHere
	}
	l.ended <- struct{}{}
	return nil
}

// All instances are killed, and a trainer ends its step while the next owner takes
// it over. The end stands in the ledger; the owner went on with the step's items for
// seconds, at engines that others waited for, until it had something to write.
func TestOwnerThatTakesOverHearsOfTheEnd(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d, store := newDesk(t, nil)
	other := &ledger.Ledger{
		Space: store,
		Self: ledger.Owner{
			Instance:    "other",
			Incarnation: "1",
		},
	}
	_, err := other.Accept(ctx, &submission.Submission{
		ID: "b",
	})
	is.NoErr(err)
	peers := late{
		asked: &atomic.Int32{},
		ended: make(chan struct{}, 1),
	}
	d.Peers = peers
	is.NoErr(d.End(ctx, "b"))
	<-peers.ended
}

// The same, with the end in the ledger before the next owner has read the batch.
func TestEndedBatchIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d, _ := newDesk(t, nil)
	claim, err := d.Ledger.Accept(ctx, &submission.Submission{
		ID: "b",
	})
	is.NoErr(err)
	is.NoErr(d.Ledger.End(ctx, "b", time.Now()))
	d.Runner.Holder.Take(catalog.Configuration{
		Version: 1,
	}.WithIndex())
	is.True(errors.Is(d.Runner.Adopt(ctx, claim), ledger.ErrFenced))
	is.Equal(d.Runner.Has("b"), false)
}

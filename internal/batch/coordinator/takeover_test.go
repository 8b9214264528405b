package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Guards against taking over a batch whose owner is back, or that has another owner already.
func TestOnlyBatchesOfLostOwnerAreTakenOver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, store := newCoordinator(t, nil)
	cfg := catalog.Configuration{
		Version: 1,
	}
	c.Config.Update(cfg.WithIndex())
	c.Runner.Configuration.Update(cfg.WithIndex())
	lost := ledger.Owner{Instance: "other", Incarnation: "1", Address: "other"}
	owner := &ledger.Ledger{
		Store: store,
		Self:  lost,
	}
	sub := &submission.Submission{
		ID:          "b",
		SubmittedMS: time.Now().UnixMilli(),
		Items:       []submission.Item{{ID: "x", Path: "/x"}},
	}
	_, err := owner.Accept(ctx, sub)
	is.NoErr(err)
	written, err := store.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: registry.InstanceKey("other"), Value: []byte("{}")},
		},
	})
	is.NoErr(err)
	is.True(written > 0)
	c.acquireFrom(lost, "b")
	is.Equal(c.Runner.Has("b"), false) // the key of its owner exists
	_, err = store.Commit(ctx, keyvalue.Transaction{
		Removes: []string{registry.InstanceKey("other")},
	})
	is.NoErr(err)
	c.acquireFrom(ledger.Owner{Instance: "third"}, "b")
	is.Equal(c.Runner.Has("b"), false) // it has another owner
	c.acquireFrom(lost, "gone")
	c.AcquireFrom(lost, []string{"b"})
	is.True(eventually(func() bool { return c.Runner.Has("b") }))
}

package desk

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

// Guards against a successor that takes over from an owner that is back, or was succeeded already.
func TestOnlyTheLostAreInherited(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d, store := newDesk(t, nil)
	cfg := catalog.Configuration{
		Version: 1,
	}
	d.Config.Take(cfg.WithIndex())
	d.Runner.Holder.Take(cfg.WithIndex())
	lost := ledger.Owner{Instance: "other", Incarnation: "1", Address: "other"}
	owner := &ledger.Ledger{
		Space: store,
		Self:  lost,
	}
	sub := &submission.Submission{
		ID:          "b",
		SubmittedMS: time.Now().UnixMilli(),
		Items:       []submission.Item{{ID: "x", Path: "/x"}},
	}
	_, err := owner.Accept(ctx, sub)
	is.NoErr(err)
	sign, err := store.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: registry.Key("other"), Value: []byte("{}")},
		},
	})
	is.NoErr(err)
	is.True(sign > 0)
	d.inherit(lost, "b")
	is.Equal(d.Runner.Has("b"), false) // its key stands
	_, err = store.Commit(ctx, keyvalue.Transaction{
		Removes: []string{registry.Key("other")},
	})
	is.NoErr(err)
	d.inherit(ledger.Owner{Instance: "third"}, "b")
	is.Equal(d.Runner.Has("b"), false) // it belongs to another
	d.inherit(lost, "gone")
	d.Inherit(lost, []string{"b"})
	is.True(until(func() bool { return d.Runner.Has("b") }))
}

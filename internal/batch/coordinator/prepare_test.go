package coordinator

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// newStep returns the batch of a trainer's step.
func newStep(id string) *submission.Submission {
	return &submission.Submission{
		ID:          id,
		Model:       "m",
		SubmittedMS: time.Now().UnixMilli(),
		Items:       []submission.Item{{ID: "x", Path: "/x"}},
	}
}

// Guards against a step that another instance begins again although its home has run part
// of it.
func TestHomeStoresPreparedBatch(t *testing.T) {
	is := is.New(t)
	var down atomic.Bool
	down.Store(true)
	c, _ := newCoordinator(t, func(memorystore.Operation) memorystore.Fault {
		if down.Load() {
			return memorystore.Down
		}
		return memorystore.None
	})
	self := c.Registry.Self()
	self.Cores = 1
	c.Registry.SetSelf(self)
	sub := newStep("b")
	began := time.Now()
	err := c.Accept(context.Background(), sub, catalog.Route{})
	is.True(errors.Is(err, ErrPrepared))
	is.Equal(problem.From(err).Kind.Outcome, problem.Unknown)
	is.True(time.Since(began) < homeTimeout) // the instance that forwarded it still waits
	is.True(c.Runner.RunsUnstored("b"))
	down.Store(false)
	is.True(eventually(func() bool { return c.Runner.Has("b") }))
	c.Runner.Configuration.Update(catalog.Configuration{Version: 1}.WithIndex())
	is.NoErr(c.Accept(context.Background(), sub, catalog.Route{})) // the trainer retries
}

// preparedHome is a home that has begun a batch and can't store it.
type preparedHome struct {
	silentPeers
	asked *atomic.Int32
}

// Submit implements Peers.
func (p preparedHome) Submit(context.Context, string, *submission.Submission) error {
	p.asked.Add(1)
	return ErrPrepared
}

// Guards against an instance that accepts a step at once although its home has begun it.
func TestHomeIsAskedTwiceBeforeBatchIsAcceptedElsewhere(t *testing.T) {
	is := is.New(t)
	c, _ := newCoordinator(t, nil)
	var asked atomic.Int32
	c.Peers = preparedHome{
		asked: &asked,
	}
	self := c.Registry.Self()
	self.Cores = 0.1
	c.Registry.SetSelf(self)
	var tb tomb.Tomb
	home := &registry.Registry{
		Store: c.Ledger.Store,
		Timer: c.Timer,
	}
	home.SetSelf(registry.Member{Name: "home", Incarnation: "1", Cores: 1, PeerAddress: "home:1"})
	tb.Go(func() error { return home.Run(&tb) })
	defer func() { tb.Kill(nil); _ = tb.Wait() }()
	view := &registry.Registry{
		Store: c.Ledger.Store,
		Timer: c.Timer,
	}
	view.SetSelf(self)
	c.Registry = view
	tb.Go(func() error { return view.Run(&tb) })
	is.True(eventually(func() bool { return view.Present("home") && view.LeaseHeld() }))
	is.NoErr(c.Submit(context.Background(), newStep("b"), catalog.Route{}))
	is.Equal(asked.Load(), int32(2)) // asked twice before the batch is accepted here
	is.True(c.Runner.Has("b"))
}

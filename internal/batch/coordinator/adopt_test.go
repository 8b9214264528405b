package coordinator

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// unawarePeers has an owner that does not know of its batch.
type unawarePeers struct {
	silentPeers
	adopted chan string
}

// Adopt implements Peers.
func (u unawarePeers) Adopt(_ context.Context, address, id string) error {
	u.adopted <- address + " " + id
	return nil
}

// Guards against a trainer that is idle for seconds until the owner of its batch sweeps. The
// key-value service is slow: the home stores the batch but gives up on the answer, and the
// trainer retries at another instance, which finds the batch accepted.
func TestUnawareOwnerIsToldToAdoptItsBatch(t *testing.T) {
	is := is.New(t)
	c, store := newCoordinator(t, nil)
	owner := &ledger.Ledger{
		Store: store,
		Self: ledger.Owner{
			Instance:    "other",
			Incarnation: "1",
			Address:     "other:1",
		},
	}
	sub := &submission.Submission{
		ID: "b",
	}
	_, err := owner.Accept(context.Background(), sub)
	is.NoErr(err)
	peers := unawarePeers{
		adopted: make(chan string, 1),
	}
	c.Peers = peers
	is.NoErr(c.Accept(context.Background(), sub, catalog.Route{}))
	is.Equal(<-peers.adopted, "other:1 b")
}

// The batch has ended in the meantime: no instance is asked to adopt it.
func TestEndedBatchIsNotAdopted(t *testing.T) {
	is := is.New(t)
	c, _ := newCoordinator(t, nil)
	peers := unawarePeers{
		adopted: make(chan string, 1),
	}
	c.Peers = peers
	c.ensureOwnerRuns("gone")
	is.Equal(len(peers.adopted), 0)
}

// Guards against the outcome "not run" for a step that runs. The key-value service is
// unavailable, so the home begins the step before it is stored; any other instance does
// not begin it and may report "not run".
func TestHomeDoesNotReportPreparedBatchAsNotRun(t *testing.T) {
	is := is.New(t)
	c, _ := newCoordinator(t, func(memorystore.Operation) memorystore.Fault { return memorystore.Down })
	sub := &submission.Submission{
		ID:    "b",
		Model: "m",
	}
	self := c.Registry.Self()
	self.Cores = 1
	c.Registry.SetSelf(self)
	is.True(c.isHome(sub))
	err := c.Accept(context.Background(), sub, catalog.Route{})
	is.Equal(problem.From(err).Kind.Outcome, problem.Unknown)

	// The home keeps trying to store the step, so a separate coordinator serves as the other
	// instance.
	other, _ := newCoordinator(t, func(memorystore.Operation) memorystore.Fault { return memorystore.Down })
	other.Registry.SetSelf(self)
	other.Ledger.Self.Instance = "elsewhere"
	is.Equal(other.isHome(sub), false)
	err = other.Accept(context.Background(), sub, catalog.Route{})
	is.Equal(problem.From(err).Kind.Outcome, problem.NotRun)
}

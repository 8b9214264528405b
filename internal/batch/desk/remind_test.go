package desk

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// unaware is an owner that does not know of its batch.
type unaware struct {
	silent
	adopted chan string
}

// Adopt implements Peers.
func (u unaware) Adopt(_ context.Context, address, id string) error {
	u.adopted <- address + " " + id
	return nil
}

// The service is slow. The home of a batch stores it, but gives up on the answer,
// and the trainer comes again at another instance, which finds it accepted. The
// owner looked for its batches only seconds later, and the step stood still.
func TestOwnerThatDoesNotKnowItsBatchIsReminded(t *testing.T) {
	is := is.New(t)
	d, store := newDesk(t, nil)
	owner := &ledger.Ledger{
		Space: store,
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
	peers := unaware{
		adopted: make(chan string, 1),
	}
	d.Peers = peers
	is.NoErr(d.Accept(context.Background(), sub, catalog.Route{}))
	is.Equal(<-peers.adopted, "other:1 b")
}

// The batch has ended meanwhile: nobody is asked for anything.
func TestEndedBatchIsNotBegunAgain(t *testing.T) {
	is := is.New(t)
	d, _ := newDesk(t, nil)
	peers := unaware{
		adopted: make(chan string, 1),
	}
	d.Peers = peers
	d.remind("gone")
	is.Equal(len(peers.adopted), 0)
}

// The key-value service is away when a trainer asks for a step. Its home begins the
// step and must not say then that it has not run; any other instance may.
func TestHomeThatBeginsAStepDoesNotRefuseIt(t *testing.T) {
	is := is.New(t)
	d, _ := newDesk(t, func(space.Call) space.Fault { return space.Down })
	sub := &submission.Submission{
		ID:    "b",
		Model: "m",
	}
	self := d.Registry.Self()
	self.Cores = 1
	d.Registry.SetSelf(self)
	is.True(d.prepares(sub))
	err := d.Accept(context.Background(), sub, catalog.Route{})
	is.Equal(problem.From(err).Kind.Outcome, problem.Unknown)

	// The home goes on trying to store it: another desk stands for another instance.
	other, _ := newDesk(t, func(space.Call) space.Fault { return space.Down })
	other.Registry.SetSelf(self)
	other.Ledger.Self.Instance = "elsewhere"
	is.Equal(other.prepares(sub), false)
	err = other.Accept(context.Background(), sub, catalog.Route{})
	is.Equal(problem.From(err).Kind.Outcome, problem.NotRun)
}

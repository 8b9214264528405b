package demand_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/demand"
)

// Guards against engines that stay idle because they are reserved for a trainer that
// does not need them. Two trainers on different instances share engines; then one
// becomes idle, opens a new session, and its instance dies. A late update of its
// old session is ignored.
func TestShareFollowsBusyTrainers(t *testing.T) {
	is := is.New(t)
	table := &member.Table{
		State: &gossip.State{},
		Timer: &timer.Manual{},
	}
	table.Join(member.Member{
		ID:          "here",
		Incarnation: 1,
	})
	there := member.Member{
		ID:          "there",
		Incarnation: 1,
	}
	table.State.Merge(there.Entry(0))
	demands := &demand.Table{
		State: table.State,
	}
	share := func() float64 { return demands.Share("plan", "saddle", 3, table.View()) }
	is.Equal(share(), 1.0) // alone
	other := demand.Demand{
		Trainer:    "bag",
		Session:    1,
		Instance:   "there",
		Deployment: "plan",
		Weight:     1,
		Busy:       true,
	}
	demands.Publish(other)
	is.Equal(share(), 0.75)
	other.Busy = false
	demands.Publish(other)
	is.Equal(share(), 1.0)
	other.Session, other.Busy = 2, true
	demands.Publish(other)
	other.Session, other.Busy = 1, false
	demands.Publish(other) // late update of the old session
	is.Equal(share(), 0.75)
	table.State.Merge(there.WithStatus(member.Dead).Entry(1 << 40))
	is.Equal(share(), 1.0)
}

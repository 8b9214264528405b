package standby

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// An owner is lost only if nobody hears it, and silence alone is not enough.
func TestEvidence(t *testing.T) {
	is := is.New(t)
	is.Equal(Evidence{Silence: restEvery + silentAfter - 1, Every: restEvery}.Suspect(), false)
	is.True(Evidence{Silence: restEvery + silentAfter, Every: restEvery}.Suspect())
	is.True(Evidence{Leaves: true}.Suspect())
	for _, c := range []struct {
		name   string
		own    Answer
		others []Answer
		lost   bool
	}{
		{"it answers", Alive, []Answer{Silent, Silent}, false},
		{"another instance reaches it", Silent, []Answer{Silent, Alive}, false},
		{"refused, but another reaches it", Refused, []Answer{Alive}, false},
		{"a new life answers", Replaced, []Answer{Silent}, false},
		{"its process is gone", Refused, nil, true},
		{"two hear nothing", Silent, []Answer{Unasked, Silent}, true},
		{"another finds nothing there", Silent, []Answer{Refused}, true},
		{"nobody else could ask: this instance may be cut off", Silent, []Answer{Unasked, Unasked}, false},
		{"there is nobody else", Silent, nil, false},
	} {
		lost, why := Evidence{
			Own:    c.own,
			Others: c.others,
		}.Lost()
		if lost != c.lost || why == "" {
			t.Errorf("%s: lost %v, %q", c.name, lost, why)
		}
	}
}

// answers are what questions come to.
type answers struct {
	holders
	own, other Answer
}

func (a answers) Ask(context.Context, string, string) Answer             { return a.own }
func (a answers) Observe(context.Context, string, string, string) Answer { return a.other }

// watched returns a successor that has heard one heartbeat of an owner, whose key
// stands under a lease of a minute.
func watched(is *is.I, a answers) (*Watcher, *space.Space, uint64, chan ledger.Owner) {
	clock := &timer.Manual{}
	clock.Advance(time.Second)
	store := &space.Space{
		Timer: clock,
	}
	lease, err := store.Grant(context.Background(), time.Minute)
	is.NoErr(err)
	lost := make(chan ledger.Owner, 8)
	w := &Watcher{
		Copies:    &Copies{},
		Peers:     a,
		Space:     store,
		Held:      func() bool { return true },
		Rank:      func(string) int { return 0 },
		Observers: func(string) []string { return []string{"o"} },
		Lost:      func(o ledger.Owner, _ []string) { lost <- o },
		Timer:     clock,
	}
	is.NoErr(w.Copies.Take(Heartbeat{
		Owner: ownerA,
		Lease: lease,
		Open:  []string{"b"},
		Every: workEvery,
		Deltas: []Delta{
			{Batch: "b", Whole: true},
		},
	}, clock.Now()))
	return w, store, lease, lost
}

// settle looks until no question is under way.
func settle(w *Watcher) bool {
	any := w.look(context.Background())
	timer.Until(timer.Real{}, time.Millisecond, 5*time.Second, nil, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.asking) == 0
	})
	return any
}

// Guards against batches that wait for the lease of an instance that lost power.
func TestLostOwnerIsReplacedBeforeItsLeaseEnds(t *testing.T) {
	is := is.New(t)
	w, store, lease, lost := watched(is, answers{own: Silent, other: Silent})
	is.True(settle(w))
	is.Equal(len(lost), 0) // it was heard a moment ago
	w.Timer.(*timer.Manual).Advance(workEvery + silentAfter)
	settle(w)
	is.Equal(<-lost, ownerA)
	is.True(store.KeepAlive(context.Background(), lease) != nil)
	is.Equal(settle(w), false) // nothing is left to watch
}

// late answers that an owner is silent after its heartbeat has come.
type late struct {
	answers
	come func()
}

func (l late) Ask(context.Context, string, string) Answer {
	l.come()
	return Silent
}

// Guards against the end of an owner's lease whose heartbeat comes while others are asked about it.
func TestHeartbeatEndsTheSuspicion(t *testing.T) {
	is := is.New(t)
	w, store, lease, lost := watched(is, answers{other: Silent})
	clock := w.Timer.(*timer.Manual)
	clock.Advance(workEvery + silentAfter)
	w.Peers = late{
		answers: answers{other: Silent},
		come: func() {
			clock.Advance(askTimeout)
			_ = w.Copies.Take(Heartbeat{
				Owner: ownerA,
				Lease: lease,
				Open:  []string{"b"},
				Every: workEvery,
			}, clock.Now())
		},
	}
	settle(w)
	is.Equal(len(lost), 0)
	is.NoErr(store.KeepAlive(context.Background(), lease))
}

// Guards against the end of a living owner's lease where only one path between instances is cut.
func TestOwnerThatAnotherReachesStays(t *testing.T) {
	is := is.New(t)
	w, store, lease, lost := watched(is, answers{own: Silent, other: Alive})
	w.Timer.(*timer.Manual).Advance(workEvery + silentAfter)
	settle(w)
	is.Equal(len(lost), 0)
	is.NoErr(store.KeepAlive(context.Background(), lease))
	is.True(settle(w)) // it is watched on
}

// Guards against an instance that does not reach the service and takes all others for lost.
func TestInstanceWithoutLeaseJudgesNobody(t *testing.T) {
	is := is.New(t)
	w, _, _, lost := watched(is, answers{own: Silent, other: Silent})
	w.Held = func() bool { return false }
	w.Timer.(*timer.Manual).Advance(time.Minute / 2)
	settle(w)
	is.Equal(len(lost), 0)
}

// Guards against batches that stay behind when their owner stops while the service is away.
func TestOwnerThatStopsInAnOutageIsReplacedAfterIt(t *testing.T) {
	is := is.New(t)
	w, store, lease, lost := watched(is, answers{own: Refused})
	down := true
	store.Fault = func(space.Call) space.Fault {
		if down {
			return space.Down
		}
		return space.None
	}
	clock := w.Timer.(*timer.Manual)
	is.NoErr(w.Copies.Take(Heartbeat{
		Owner:  ownerA,
		Lease:  lease,
		Open:   []string{"b"},
		Leaves: true,
	}, clock.Now()))
	stop := clock.Run(20*time.Millisecond, time.Millisecond)
	defer stop()
	clock.Advance(2 * askPause)
	settle(w)
	is.Equal(len(lost), 0)
	down = false
	settle(w)
	is.Equal(<-lost, ownerA)
}

// Guards against two successors that act at the same time.
func TestSecondSuccessorActsLater(t *testing.T) {
	is := is.New(t)
	w, _, _, lost := watched(is, answers{own: Silent, other: Silent})
	w.Rank = func(string) int { return 1 }
	clock := w.Timer.(*timer.Manual)
	clock.Advance(workEvery + silentAfter)
	settle(w)
	is.Equal(len(lost), 0)
	clock.Advance(turnTime)
	settle(w)
	is.Equal(<-lost, ownerA)
	w.Copies.owners = map[string]Heard{"a": {Heartbeat: Heartbeat{Owner: ownerA, Every: workEvery}}}
	w.Rank = func(string) int { return -1 }
	is.Equal(settle(w), false) // others succeed it now
}

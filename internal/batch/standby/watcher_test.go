package standby

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// Guards against declaring an owner lost that some instance reaches, or on silence that no
// other instance confirms.
func TestEvidence(t *testing.T) {
	is := is.New(t)
	is.Equal(Evidence{Silence: idleInterval + heartbeatGrace - 1, Every: idleInterval}.Suspect(), false)
	is.True(Evidence{Silence: idleInterval + heartbeatGrace, Every: idleInterval}.Suspect())
	is.True(Evidence{Leaves: true}.Suspect())
	for _, c := range []struct {
		name   string
		own    Answer
		others []Answer
		lost   bool
	}{
		{"the owner answers", Alive, []Answer{Silent, Silent}, false},
		{"an observer reaches it", Silent, []Answer{Silent, Alive}, false},
		{"refused, but an observer reaches it", Refused, []Answer{Alive}, false},
		{"another incarnation answers", Replaced, []Answer{Silent}, false},
		{"its process refuses connections", Refused, nil, true},
		{"silent to this instance and an observer", Silent, []Answer{Unasked, Silent}, true},
		{"silent here, refused at an observer", Silent, []Answer{Refused}, true},
		{"no observer could ask: this instance may be cut off", Silent, []Answer{Unasked, Unasked}, false},
		{"there is no observer", Silent, nil, false},
	} {
		lost, why := Evidence{
			OwnAnswer:       c.own,
			ObserverAnswers: c.others,
		}.Lost()
		if lost != c.lost || why == "" {
			t.Errorf("%s: lost %v, %q", c.name, lost, why)
		}
	}
}

// fixedAnswers gives the same answers to every question, at this instance and at observers.
type fixedAnswers struct {
	copyHolders
	own, other Answer
}

func (a fixedAnswers) Ask(context.Context, string, string) Answer             { return a.own }
func (a fixedAnswers) Observe(context.Context, string, string, string) Answer { return a.other }

// newWatcher returns the watcher of a successor that has received one heartbeat of an owner,
// the owner's lease of a minute, and the channel of lost owners.
func newWatcher(is *is.I, a fixedAnswers) (*Watcher, *memorystore.Store, uint64, chan ledger.Owner) {
	clock := &timer.Manual{}
	clock.Advance(time.Second)
	store := &memorystore.Store{
		Timer: clock,
	}
	lease, err := store.Grant(context.Background(), time.Minute)
	is.NoErr(err)
	lost := make(chan ledger.Owner, 8)
	w := &Watcher{
		Copies:     &Copies{},
		Peers:      a,
		Store:      store,
		LeaseValid: func() bool { return true },
		Rank:       func(string) int { return 0 },
		Observers:  func(string) []string { return []string{"o"} },
		OnLost:     func(o ledger.Owner, _ []string) { lost <- o },
		Timer:      clock,
	}
	is.NoErr(w.Copies.Apply(Heartbeat{
		Owner: ownerA,
		Lease: lease,
		Open:  []string{"b"},
		Every: busyInterval,
		Deltas: []BatchDelta{
			{Batch: "b", Whole: true},
		},
	}, clock.Now()))
	return w, store, lease, lost
}

// checkUntilIdle checks the owners once and waits until no inquiry is under way.
func checkUntilIdle(w *Watcher) bool {
	watching := w.checkOwners(context.Background())
	timer.Poll(timer.Real{}, time.Millisecond, 5*time.Second, nil, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.inquiries) == 0
	})
	return watching
}

// Guards against batches that wait for the lease of an instance that lost power to expire.
func TestLostOwnerIsReplacedBeforeItsLeaseEnds(t *testing.T) {
	is := is.New(t)
	w, store, lease, lost := newWatcher(is, fixedAnswers{own: Silent, other: Silent})
	is.True(checkUntilIdle(w))
	is.Equal(len(lost), 0) // its heartbeat arrived a moment ago
	w.Timer.(*timer.Manual).Advance(busyInterval + heartbeatGrace)
	checkUntilIdle(w)
	is.Equal(<-lost, ownerA)
	is.True(store.KeepAlive(context.Background(), lease) != nil)
	is.Equal(checkUntilIdle(w), false) // nothing is left to watch
}

// lateHeartbeat answers that an owner is silent, after a heartbeat of it has arrived.
type lateHeartbeat struct {
	fixedAnswers
	arrive func()
}

func (l lateHeartbeat) Ask(context.Context, string, string) Answer {
	l.arrive()
	return Silent
}

// Guards against revoking the lease of an owner whose heartbeat arrives during the inquiry
// about it.
func TestHeartbeatDuringInquiryClearsSuspicion(t *testing.T) {
	is := is.New(t)
	w, store, lease, lost := newWatcher(is, fixedAnswers{other: Silent})
	clock := w.Timer.(*timer.Manual)
	clock.Advance(busyInterval + heartbeatGrace)
	w.Peers = lateHeartbeat{
		fixedAnswers: fixedAnswers{other: Silent},
		arrive: func() {
			clock.Advance(askTimeout)
			_ = w.Copies.Apply(Heartbeat{
				Owner: ownerA,
				Lease: lease,
				Open:  []string{"b"},
				Every: busyInterval,
			}, clock.Now())
		},
	}
	checkUntilIdle(w)
	is.Equal(len(lost), 0)
	is.NoErr(store.KeepAlive(context.Background(), lease))
}

// Guards against revoking the lease of a live owner when only the path between it and this
// instance is cut.
func TestOwnerReachableByObserverIsKept(t *testing.T) {
	is := is.New(t)
	w, store, lease, lost := newWatcher(is, fixedAnswers{own: Silent, other: Alive})
	w.Timer.(*timer.Manual).Advance(busyInterval + heartbeatGrace)
	checkUntilIdle(w)
	is.Equal(len(lost), 0)
	is.NoErr(store.KeepAlive(context.Background(), lease))
	is.True(checkUntilIdle(w)) // it is still watched
}

// Guards against an instance that does not reach the key-value service and declares all others
// lost.
func TestInstanceWithoutLeaseDeclaresNobodyLost(t *testing.T) {
	is := is.New(t)
	w, _, _, lost := newWatcher(is, fixedAnswers{own: Silent, other: Silent})
	w.LeaseValid = func() bool { return false }
	w.Timer.(*timer.Manual).Advance(time.Minute / 2)
	checkUntilIdle(w)
	is.Equal(len(lost), 0)
}

// Guards against batches that nobody takes over when their owner stops while the key-value
// service is unavailable.
func TestOwnerStoppedDuringOutageIsReplacedAfterIt(t *testing.T) {
	is := is.New(t)
	w, store, lease, lost := newWatcher(is, fixedAnswers{own: Refused})
	down := true
	store.Fault = func(memorystore.Operation) memorystore.Fault {
		if down {
			return memorystore.Down
		}
		return memorystore.None
	}
	clock := w.Timer.(*timer.Manual)
	is.NoErr(w.Copies.Apply(Heartbeat{
		Owner:  ownerA,
		Lease:  lease,
		Open:   []string{"b"},
		Leaves: true,
	}, clock.Now()))
	stop := clock.Run(20*time.Millisecond, time.Millisecond)
	defer stop()
	clock.Advance(2 * askPause)
	checkUntilIdle(w)
	is.Equal(len(lost), 0)
	down = false
	checkUntilIdle(w)
	is.Equal(<-lost, ownerA)
}

// Guards against two successors that act at the same time.
func TestSecondSuccessorActsLater(t *testing.T) {
	is := is.New(t)
	w, _, _, lost := newWatcher(is, fixedAnswers{own: Silent, other: Silent})
	w.Rank = func(string) int { return 1 }
	clock := w.Timer.(*timer.Manual)
	clock.Advance(busyInterval + heartbeatGrace)
	checkUntilIdle(w)
	is.Equal(len(lost), 0)
	clock.Advance(successorDelay)
	checkUntilIdle(w)
	is.Equal(<-lost, ownerA)
	w.Copies.owners = map[string]LastHeartbeat{"a": {Heartbeat: Heartbeat{Owner: ownerA, Every: busyInterval}}}
	w.Rank = func(string) int { return -1 }
	is.Equal(checkUntilIdle(w), false) // other instances are its successors now
}

package usage

import (
	"context"
	"errors"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
	"github.com/egretbend/egretbend/internal/standin/property"
)

const (
	dutyKey   = "duty"
	usageKey  = "usage"
	reporters = 3
)

// safeguards names the safeguards that a property test disables.
type safeguards struct {
	store bool // reports are sent without being stored
	fence bool // reports are stored without a check of the fencing token
}

// simulation consists of instances that take over the duty from each other, two collectors,
// and a receiver that remembers the reports it accepted.
type simulation struct {
	t        *rapid.T
	off      safeguards
	clock    timer.Manual
	now      time.Time
	store    *memorystore.Store
	fault    memorystore.Fault
	nodes    []*node
	peers    fakePeers
	accepted map[Window]Counts
}

// node is an instance. Its knowledge of whether it holds the duty may be outdated.
type node struct {
	sim      *simulation
	meter    *Meter
	reporter *Reporter
	fence    uint64
	// paused suspends the instance just before it sends a report.
	paused bool
	// delayed holds the reports that it sends when it resumes.
	delayed []Report
	// answersLost drops the answers of the receiver to this instance.
	answersLost bool
}

// FencingToken implements Holder.
func (n *node) FencingToken() (uint64, bool) { return n.fence, n.fence != 0 }

// BeginCall implements Holder.
func (n *node) BeginCall(ctx context.Context, _ uint64, _ time.Duration) (context.Context, func(), error) {
	return ctx, func() {}, nil
}

// Report implements Receiver.
func (n *node) Report(_ context.Context, _ uint64, r Report) error {
	if n.paused {
		n.delayed = append(n.delayed, r)
		return errors.New("instance is paused")
	}
	n.sim.accept(r)
	if n.answersLost {
		return errors.New("the answer is lost")
	}
	return nil
}

// accept takes a report, and fails the test if an earlier one of the same window differs.
func (w *simulation) accept(r Report) {
	if before, ok := w.accepted[r.Window]; ok && !maps.Equal(before, r.Counts) {
		w.t.Fatalf("window %d was reported first as %v, then as %v", r.Window, before, r.Counts)
	}
	w.accepted[r.Window] = maps.Clone(r.Counts)
}

// uncheckedStore is a store on which some safeguards are disabled.
type uncheckedStore struct {
	keyvalue.TransactionalStore
	off safeguards
}

// Commit implements keyvalue.TransactionalStore.
func (c uncheckedStore) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	if c.off.store {
		return 1, nil
	}
	if c.off.fence {
		tx.Expects = nil
	}
	return c.TransactionalStore.Commit(ctx, tx)
}

func newSimulation(t *rapid.T, off safeguards) *simulation {
	w := &simulation{
		t:        t,
		off:      off,
		now:      time.UnixMilli(1_000_000),
		accepted: make(map[Window]Counts),
		peers: fakePeers{
			down:       make(map[string]bool),
			collectors: map[string]*Collector{"x": {}, "y": {}},
		},
	}
	w.store = &memorystore.Store{
		Timer: &w.clock,
		Fault: func(memorystore.Operation) memorystore.Fault { return w.fault },
	}
	for i := range reporters {
		n := &node{
			sim:   w,
			meter: newMeter(string(rune('a'+i)), &w.now),
		}
		n.reporter = &Reporter{
			Holder:     n,
			DutyKey:    dutyKey,
			Key:        usageKey,
			Store:      uncheckedStore{TransactionalStore: w.store, off: off},
			Meter:      n.meter,
			Collectors: func() map[string][]string { return map[string][]string{"d": {"x", "y"}} },
			Peers:      &w.peers,
			Receiver:   n,
			Timer:      &w.clock,
		}
		w.nodes = append(w.nodes, n)
	}
	w.grantDuty(w.nodes[0])
	return w
}

// grantDuty gives an instance the duty. The previous holder may not know it yet.
func (w *simulation) grantDuty(n *node) {
	revision, err := w.store.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{{Key: dutyKey, Value: []byte(n.meter.Instance)}},
	})
	if err == nil {
		n.fence = revision
	}
}

// sendCounts sends the counts of an instance to the collectors that answer.
func (w *simulation) sendCounts(n *node) {
	for _, address := range []string{"x", "y"} {
		_ = w.peers.Store(context.Background(), address, n.meter.Record())
	}
}

// resume ends the pause of an instance, which then sends its delayed reports.
func (n *node) resume() {
	n.paused = false
	for _, r := range n.delayed {
		n.sim.accept(r)
	}
	n.delayed = nil
}

// simulate returns a property that runs random histories of faults, pauses, takeovers and
// lost collectors.
func simulate(off safeguards) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newSimulation(t, off)
		anyNode := func() *node { return w.nodes[rapid.IntRange(0, reporters-1).Draw(t, "instance")] }
		faults := []memorystore.Fault{memorystore.None, memorystore.Down, memorystore.LostBefore, memorystore.LostAfter, memorystore.Delayed}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { anyNode().meter.RequestStarted("saddlers") },
			"send":    func(*rapid.T) { w.sendCounts(anyNode()) },
			"step": func(*rapid.T) {
				w.fault = rapid.SampledFrom(faults).Draw(t, "fault")
				_ = anyNode().reporter.Step(context.Background())
				w.fault = memorystore.None
			},
			"calm step": func(*rapid.T) { _ = anyNode().reporter.Step(context.Background()) },
			"settle":    func(*rapid.T) { w.store.ApplyDelayed() },
			"take":      func(*rapid.T) { w.grantDuty(anyNode()) },
			"notice":    func(*rapid.T) { anyNode().fence = 0 },
			"sleep":     func(*rapid.T) { anyNode().paused = true },
			"wake":      func(*rapid.T) { anyNode().resume() },
			"lose":      func(*rapid.T) { n := anyNode(); n.answersLost = !n.answersLost },
			"silence": func(*rapid.T) {
				address := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "collector")
				w.peers.down[address] = !w.peers.down[address]
			},
			"replace": func(*rapid.T) { w.peers.collectors["x"] = &Collector{} },
			"wait":    func(*rapid.T) { w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "s")) * time.Second) },
		})
	}
}

// Guards against two different reports of one window after a suspension, lost answers or a
// takeover.
func TestEachWindowIsReportedOnce(t *testing.T) { property.Check(t, simulate(safeguards{})) }

// Shows that without the stored report, an instance that takes over reports a window again
// with the counts that it knows.
func TestReportsDifferWithoutStoredReport(t *testing.T) {
	property.CheckFails(t, simulate(safeguards{store: true}))
}

// Shows that without the fencing token, an instance that lost the duty overwrites the report
// of its successor.
func TestReportsDifferWithoutFencing(t *testing.T) {
	property.CheckFails(t, simulate(safeguards{fence: true}))
}

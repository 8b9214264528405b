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
	"github.com/egretbend/egretbend/internal/standin/proof"
	"github.com/egretbend/egretbend/internal/standin/space"
)

const (
	dutyKey   = "duty"
	usageKey  = "usage"
	reporters = 3
)

// mechanisms are what the proofs switch off, one at a time.
type mechanisms struct {
	record bool // a report is sent without being written down
	fence  bool // a report is written down by whoever had the duty once
}

// world is instances that take the duty from each other, and a receiver that remembers
// what it was told.
type world struct {
	t     *rapid.T
	off   mechanisms
	clock timer.Manual
	now   time.Time
	store *space.Space
	fault space.Fault
	nodes []*node
	peers collectorPeers
	taken map[Window]Counts
}

// node is an instance; its word of who has the duty may be old.
type node struct {
	w        *world
	meter    *Meter
	reporter *Reporter
	fence    uint64
	// asleep stops it just before it sends.
	asleep bool
	// late is what it sends when it wakes.
	late []Report
	lost bool
}

// Fence implements Holder.
func (n *node) Fence() (uint64, bool) { return n.fence, n.fence != 0 }

// Report implements Receiver.
func (n *node) Report(_ context.Context, _ uint64, r Report) error {
	if n.asleep {
		n.late = append(n.late, r)
		return errors.New("asleep")
	}
	n.w.accept(r)
	if n.lost {
		return errors.New("the answer is lost")
	}
	return nil
}

func (w *world) accept(r Report) {
	if before, ok := w.taken[r.Window]; ok && !maps.Equal(before, r.Counts) {
		w.t.Fatalf("window %d was reported as %v and as %v", r.Window, before, r.Counts)
	}
	w.taken[r.Window] = maps.Clone(r.Counts)
}

// careless is a store on which some mechanisms are switched off.
type careless struct {
	keyvalue.Space
	off mechanisms
}

// Commit implements keyvalue.Space.
func (c careless) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	if c.off.record {
		return 1, nil
	}
	if c.off.fence {
		tx.Expects = nil
	}
	return c.Space.Commit(ctx, tx)
}

func newWorld(t *rapid.T, off mechanisms) *world {
	w := &world{
		t:     t,
		off:   off,
		now:   time.UnixMilli(1_000_000),
		taken: make(map[Window]Counts),
		peers: collectorPeers{
			down: make(map[string]bool),
			at:   map[string]*Collector{"x": {}, "y": {}},
		},
	}
	w.store = &space.Space{
		Timer: &w.clock,
		Fault: func(space.Call) space.Fault { return w.fault },
	}
	for i := range reporters {
		n := &node{
			w:     w,
			meter: newMeter(string(rune('a'+i)), &w.now),
		}
		n.reporter = &Reporter{
			Holder:     n,
			DutyKey:    dutyKey,
			Key:        usageKey,
			Space:      careless{Space: w.store, off: off},
			Meter:      n.meter,
			Collectors: func() map[string][]string { return map[string][]string{"d": {"x", "y"}} },
			Peers:      &w.peers,
			Receiver:   n,
			Timer:      &w.clock,
		}
		w.nodes = append(w.nodes, n)
	}
	w.take(w.nodes[0])
	return w
}

// take gives an instance the duty. The one before may not know it yet.
func (w *world) take(n *node) {
	revision, err := w.store.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{{Key: dutyKey, Value: []byte(n.meter.Instance)}},
	})
	if err == nil {
		n.fence = revision
	}
}

// send sends the collectors that answer what an instance counted.
func (w *world) send(n *node) {
	for _, address := range []string{"x", "y"} {
		_ = w.peers.Store(context.Background(), address, n.meter.Record())
	}
}

func (n *node) wake() {
	n.asleep = false
	for _, r := range n.late {
		n.w.accept(r)
	}
	n.late = nil
}

func history(off mechanisms) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, off)
		some := func() *node { return w.nodes[rapid.IntRange(0, reporters-1).Draw(t, "instance")] }
		faults := []space.Fault{space.None, space.Down, space.LostBefore, space.LostAfter, space.Late}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { some().meter.Began("saddlers") },
			"send":    func(*rapid.T) { w.send(some()) },
			"step": func(*rapid.T) {
				w.fault = rapid.SampledFrom(faults).Draw(t, "fault")
				_ = some().reporter.Step(context.Background())
				w.fault = space.None
			},
			"calm step": func(*rapid.T) { _ = some().reporter.Step(context.Background()) },
			"settle":    func(*rapid.T) { w.store.Settle() },
			"take":      func(*rapid.T) { w.take(some()) },
			"notice":    func(*rapid.T) { some().fence = 0 },
			"sleep":     func(*rapid.T) { some().asleep = true },
			"wake":      func(*rapid.T) { some().wake() },
			"lose":      func(*rapid.T) { n := some(); n.lost = !n.lost },
			"silence": func(*rapid.T) {
				address := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "collector")
				w.peers.down[address] = !w.peers.down[address]
			},
			"replace": func(*rapid.T) { w.peers.at["x"] = &Collector{} },
			"wait":    func(*rapid.T) { w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "s")) * time.Second) },
		})
	}
}

// Guards against two reports of one window that differ, after suspension, losses and takeovers.
func TestEachWindowIsReportedOnce(t *testing.T) { proof.Check(t, history(mechanisms{})) }

// Without the record, whoever takes over reports the window once more as it knows it.
func TestWindowsAreReportedTwiceWithoutTheRecord(t *testing.T) {
	proof.Refute(t, history(mechanisms{record: true}))
}

// Without the fencing token, one that lost the duty writes over the report of its successor.
func TestWindowsAreReportedTwiceWithoutTheFence(t *testing.T) {
	proof.Refute(t, history(mechanisms{fence: true}))
}

package member_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/property"
)

const instances = 5

// simulation is a fleet whose messages the test delivers.
type simulation struct {
	t           *rapid.T
	clock       *timer.Manual
	tables      []*member.Table
	frozen      [instances]bool
	partitioned bool
	leaving     [instances]bool
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t:     t,
		clock: &timer.Manual{},
	}
	for i := range instances {
		table := &member.Table{
			State: &gossip.State{},
			Timer: w.clock,
		}
		table.Join(member.Member{
			ID:            fmt.Sprintf("i%d", i),
			Incarnation:   1,
			FailureDomain: fmt.Sprintf("d%d", i%2),
		})
		w.tables = append(w.tables, table)
	}
	for range 2 {
		w.exchangeAll()
	}
	return w
}

// connected reports whether a message from one instance reaches another. A
// partition separates the two failure domains.
func (w *simulation) connected(from, to int) bool {
	return !w.frozen[from] && !w.frozen[to] && (!w.partitioned || from%2 == to%2)
}

// exchange runs an exchange between two instances, or records a missed call.
func (w *simulation) exchange(from, to int) {
	if from == to || w.frozen[from] {
		return
	}
	a, b := w.tables[from], w.tables[to]
	if !w.connected(from, to) {
		a.RecordMiss(fmt.Sprintf("i%d", to))
		return
	}
	args := a.State.NewExchange("x")
	next, more := a.State.HandleReply("x", b.State.HandleArgs(args, 0), 0)
	if more {
		a.State.HandleReply("x", b.State.HandleArgs(next, 0), 0)
	}
	a.RecordReply(fmt.Sprintf("i%d", to), 0)
}

// exchangeAll runs an exchange between each two instances.
func (w *simulation) exchangeAll() {
	for i := range instances {
		if !w.frozen[i] {
			w.tables[i].Tick()
		}
		for j := range instances {
			w.exchange(i, j)
		}
	}
}

// healAndCheck ends all failures, and checks that every instance then sees every
// other one as alive, and as leaving if it is.
func (w *simulation) healAndCheck() {
	w.partitioned = false
	w.frozen = [instances]bool{}
	for range 6 {
		w.clock.Advance(time.Second)
		w.exchangeAll()
	}
	for i, table := range w.tables {
		view := table.View()
		for j := range instances {
			m, ok := view.Find(fmt.Sprintf("i%d", j))
			if !ok || m.Status != member.Alive {
				w.t.Fatalf("instance %d sees %d as %v", i, j, m.Status)
			}
			if m.Leaving != w.leaving[j] {
				w.t.Fatalf("instance %d sees %d leaving: %t, but it is: %t", i, j, m.Leaving, w.leaving[j])
			}
		}
	}
}

// Instances pause and resume, and a network partition separates the failure
// domains and heals. If views did not converge afterwards, a live instance would
// get no more requests from callers and trainers, or a leaving one would still
// get new work.
func TestViewsConvergeAfterFailures(t *testing.T) {
	property.CheckN(t, 300, func(t *rapid.T) {
		w := newSimulation(t)
		anyInstance := rapid.IntRange(0, instances-1)
		t.Repeat(map[string]func(*rapid.T){
			"exchange": func(t *rapid.T) { w.exchange(anyInstance.Draw(t, "from"), anyInstance.Draw(t, "to")) },
			"tick": func(t *rapid.T) {
				if i := anyInstance.Draw(t, "instance"); !w.frozen[i] {
					w.tables[i].Tick()
				}
			},
			"wait":   func(*rapid.T) { w.clock.Advance(2 * time.Second) },
			"freeze": func(t *rapid.T) { i := anyInstance.Draw(t, "instance"); w.frozen[i] = !w.frozen[i] },
			"cut":    func(*rapid.T) { w.partitioned = !w.partitioned },
			"leave": func(t *rapid.T) {
				i := anyInstance.Draw(t, "instance")
				w.tables[i].Leave()
				w.leaving[i] = true
			},
		})
		w.healAndCheck()
	})
}

// An instance stops answering. It must not become suspect at the first missed
// call, and must be declared dead when the time for suspicion is over.
func TestSilentInstanceIsSuspectedThenDead(t *testing.T) {
	property.CheckN(t, 1, func(t *rapid.T) {
		w := newSimulation(t)
		w.frozen[1] = true
		status := func() member.Status {
			m, _ := w.tables[0].View().Find("i1")
			return m.Status
		}
		w.exchange(0, 1)
		if status() != member.Alive {
			t.Fatalf("one missed call made it %v", status())
		}
		for range member.MaxMissedCalls {
			w.exchange(0, 1)
		}
		if status() != member.Suspect {
			t.Fatalf("after %d missed calls it is %v", member.MaxMissedCalls+1, status())
		}
		w.tables[0].Tick()
		w.clock.Advance(member.SuspicionTimeout)
		w.tables[0].Tick()
		if status() != member.Dead {
			t.Fatalf("after the time of suspicion it is %v", status())
		}
	})
}

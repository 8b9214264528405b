package member_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

const instances = 5

// world is a fleet whose messages the test carries.
type world struct {
	t      *rapid.T
	clock  *timer.Manual
	tables []*member.Table
	frozen [instances]bool
	cut    bool
	left   [instances]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
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
		w.meetAll()
	}
	return w
}

// reaches reports whether a message from one instance gets to another. A cut
// parts the two failure domains.
func (w *world) reaches(from, to int) bool {
	return !w.frozen[from] && !w.frozen[to] && (!w.cut || from%2 == to%2)
}

// exchange lets one instance talk to another, or notice that it can't.
func (w *world) exchange(from, to int) {
	if from == to || w.frozen[from] {
		return
	}
	a, b := w.tables[from], w.tables[to]
	if !w.reaches(from, to) {
		a.Missed(fmt.Sprintf("i%d", to))
		return
	}
	args := a.State.Ask("x")
	next, more := a.State.Take("x", b.State.Answer(args, 0), 0)
	if more {
		a.State.Take("x", b.State.Answer(next, 0), 0)
	}
	a.Reached(fmt.Sprintf("i%d", to), 0)
}

func (w *world) meetAll() {
	for i := range instances {
		if !w.frozen[i] {
			w.tables[i].Tick()
		}
		for j := range instances {
			w.exchange(i, j)
		}
	}
}

// settle ends all failures. Every instance must then see every other one as
// alive, and those that are leaving as leaving.
func (w *world) settle() {
	w.cut = false
	w.frozen = [instances]bool{}
	for range 6 {
		w.clock.Advance(time.Second)
		w.meetAll()
	}
	for i, table := range w.tables {
		view := table.View()
		for j := range instances {
			m, ok := view.Find(fmt.Sprintf("i%d", j))
			if !ok || m.Status != member.Alive {
				w.t.Fatalf("instance %d sees %d as %v", i, j, m.Status)
			}
			if m.Leaving != w.left[j] {
				w.t.Fatalf("instance %d sees %d leaving: %t, but it is: %t", i, j, m.Leaving, w.left[j])
			}
		}
	}
}

// Instances are frozen and thawed, and regions lose each other and meet again.
// A trainer or caller would notice an instance that is never asked again, and
// an operator one that is asked for new work though it said that it leaves.
func TestViewsMeetAgain(t *testing.T) {
	proof.CheckN(t, 300, func(t *rapid.T) {
		w := newWorld(t)
		which := rapid.IntRange(0, instances-1)
		t.Repeat(map[string]func(*rapid.T){
			"exchange": func(t *rapid.T) { w.exchange(which.Draw(t, "from"), which.Draw(t, "to")) },
			"tick": func(t *rapid.T) {
				if i := which.Draw(t, "instance"); !w.frozen[i] {
					w.tables[i].Tick()
				}
			},
			"wait":   func(*rapid.T) { w.clock.Advance(2 * time.Second) },
			"freeze": func(t *rapid.T) { i := which.Draw(t, "instance"); w.frozen[i] = !w.frozen[i] },
			"cut":    func(*rapid.T) { w.cut = !w.cut },
			"leave": func(t *rapid.T) {
				i := which.Draw(t, "instance")
				w.tables[i].Leave()
				w.left[i] = true
			},
		})
		w.settle()
	})
}

// An instance does not answer for a while. Until it is given up it must not be
// taken for dead at the first missed call, nor be kept for ever.
func TestSilentInstanceIsSuspectedThenDead(t *testing.T) {
	proof.CheckN(t, 1, func(t *rapid.T) {
		w := newWorld(t)
		w.frozen[1] = true
		status := func() member.Status {
			m, _ := w.tables[0].View().Find("i1")
			return m.Status
		}
		w.exchange(0, 1)
		if status() != member.Alive {
			t.Fatalf("one missed call made it %v", status())
		}
		for range member.StrikeLimit {
			w.exchange(0, 1)
		}
		if status() != member.Suspect {
			t.Fatalf("after %d missed calls it is %v", member.StrikeLimit+1, status())
		}
		w.tables[0].Tick()
		w.clock.Advance(member.SuspicionTime)
		w.tables[0].Tick()
		if status() != member.Dead {
			t.Fatalf("after the time of suspicion it is %v", status())
		}
	})
}

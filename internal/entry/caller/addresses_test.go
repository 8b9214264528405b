package caller

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

// fleetOf returns the view of a fleet in four failure domains.
func fleetOf(n int, change func(i int, m *member.Member)) *member.View {
	state := &gossip.State{}
	table := &member.Table{
		State: state,
		Timer: &timer.Manual{},
	}
	for i := range n {
		m := member.Member{
			ID:            fmt.Sprintf("i%d", i),
			Incarnation:   1,
			Address:       fmt.Sprintf("127.0.0.1:%d", i),
			FailureDomain: fmt.Sprintf("d%d", i%4),
		}
		change(i, &m)
		state.Merge(m.Entry(0))
	}
	return table.View()
}

func idle(string) float64 { return 0 }

// Instances are leaving, suspected or dead. A caller would notice an address
// that is closed as soon as it has it, or the same one twice.
func TestAddressesNameOnlyUsableInstances(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		usable := make(map[string]bool)
		view := fleetOf(rapid.IntRange(1, 12).Draw(t, "instances"), func(_ int, m *member.Member) {
			m.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			m.Status = rapid.SampledFrom([]member.Status{member.Alive, member.Alive, member.Suspect, member.Dead}).Draw(t, "status")
			usable[m.ID] = m.Usable()
		})
		list := choose(view, idle, rapid.String().Draw(t, "caller"), "d1", 3)
		seen := make(map[string]bool)
		for _, m := range list {
			if !usable[m.ID] || seen[m.ID] {
				t.Fatalf("%s is named, usable %t, named before %t", m.ID, usable[m.ID], seen[m.ID])
			}
			seen[m.ID] = true
		}
		n := 0
		for _, ok := range usable {
			if ok {
				n++
			}
		}
		if len(list) != min(3, n) {
			t.Fatalf("%d addresses of %d usable instances", len(list), n)
		}
	})
}

// spread counts how many callers use each instance, as one of three.
func spread(view *member.View, callers int, load func(string) float64) map[string]int {
	counts := make(map[string]int)
	for c := range callers {
		for _, m := range choose(view, load, fmt.Sprintf("caller-%d/10.0.%d.%d", c, c/250, c%250), fmt.Sprintf("d%d", c%4), 3) {
			counts[m.ID]++
		}
	}
	return counts
}

// Callers keep their answers, and one instance leaves. The others would notice
// if its callers all went to one of them, and callers if they had to move
// though their own instance stays.
func TestAddressesSpreadAndStay(t *testing.T) {
	is := is.New(t)
	const callers = 600
	before := fleetOf(18, func(int, *member.Member) {})
	counts := spread(before, callers, idle)
	mean := float64(3*callers) / 18
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	t.Logf("most %d, mean %.0f: %.2f", most, mean, float64(most)/mean)
	is.True(float64(most) < 1.5*mean)
	after := fleetOf(18, func(i int, m *member.Member) { m.Leaving = i == 5 })
	moved := 0
	for c := range callers {
		key, domain := fmt.Sprintf("caller-%d/10.0.%d.%d", c, c/250, c%250), fmt.Sprintf("d%d", c%4)
		old := choose(before, idle, key, domain, 3)
		now := choose(after, idle, key, domain, 3)
		kept := make(map[string]bool)
		for _, m := range now {
			kept[m.ID] = true
		}
		for _, m := range old {
			if m.ID != "i5" && !kept[m.ID] {
				moved++
			}
		}
	}
	is.Equal(moved, 0) // only what pointed to the leaving instance moves
	busy := spread(before, callers, func(id string) float64 {
		if id == "i3" {
			return 0.8
		}
		return 0
	})
	t.Logf("at load 0.8: %d in place of %d", busy["i3"], counts["i3"])
	is.True(busy["i3"] < counts["i3"])
}

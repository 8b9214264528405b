package caller

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// newFleetView returns the view of a fleet of n instances in four failure domains.
// change may modify each instance.
func newFleetView(n int, change func(i int, m *member.Member)) *member.View {
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

func zeroLoad(string) float64 { return 0 }

// Guards against responses that list an instance that is leaving, suspect or dead, so
// that the caller gets an address that is already closed, and against responses that
// list an instance twice.
func TestAddressesListOnlyUsableInstances(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		usable := make(map[string]bool)
		view := newFleetView(rapid.IntRange(1, 12).Draw(t, "instances"), func(_ int, m *member.Member) {
			m.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			m.Status = rapid.SampledFrom([]member.Status{member.Alive, member.Alive, member.Suspect, member.Dead}).Draw(t, "status")
			usable[m.ID] = m.Usable()
		})
		list := selectInstances(view, zeroLoad, rapid.String().Draw(t, "caller"), "d1", 3)
		seen := make(map[string]bool)
		for _, m := range list {
			if !usable[m.ID] || seen[m.ID] {
				t.Fatalf("%s is listed: usable %t, listed before %t", m.ID, usable[m.ID], seen[m.ID])
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
			t.Fatalf("%d addresses for %d usable instances", len(list), n)
		}
	})
}

// countSelections returns how many callers have each instance among their three.
func countSelections(view *member.View, callers int, load func(string) float64) map[string]int {
	counts := make(map[string]int)
	for c := range callers {
		for _, m := range selectInstances(view, load, fmt.Sprintf("caller-%d/10.0.%d.%d", c, c/250, c%250), fmt.Sprintf("d%d", c%4), 3) {
			counts[m.ID]++
		}
	}
	return counts
}

// Guards against uneven distribution of callers, and against callers that move although
// their own instance stays when another instance leaves. Also checks that a loaded
// instance is selected less often.
func TestAddressesAreBalancedAndStable(t *testing.T) {
	is := is.New(t)
	const callers = 600
	before := newFleetView(18, func(int, *member.Member) {})
	counts := countSelections(before, callers, zeroLoad)
	mean := float64(3*callers) / 18
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	t.Logf("maximum %d, mean %.0f, ratio %.2f", most, mean, float64(most)/mean)
	is.True(float64(most) < 1.5*mean)
	after := newFleetView(18, func(i int, m *member.Member) { m.Leaving = i == 5 })
	moved := 0
	for c := range callers {
		key, domain := fmt.Sprintf("caller-%d/10.0.%d.%d", c, c/250, c%250), fmt.Sprintf("d%d", c%4)
		old := selectInstances(before, zeroLoad, key, domain, 3)
		now := selectInstances(after, zeroLoad, key, domain, 3)
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
	is.Equal(moved, 0) // only selections of the leaving instance change
	busy := countSelections(before, callers, func(id string) float64 {
		if id == "i3" {
			return 0.8
		}
		return 0
	})
	t.Logf("selections at load 0.8: %d, without load: %d", busy["i3"], counts["i3"])
	is.True(busy["i3"] < counts["i3"])
}

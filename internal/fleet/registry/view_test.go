package registry

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// Guards against choices among the members that differ from those by a look at each of them:
// instances with the same view must agree on homes, successors and the holder of a duty.
func TestChoicesAmongMembers(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		r := &Registry{}
		r.members = make(map[string]Member)
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 99), 1, 30, rapid.ID).Draw(t, "members") {
			m := Member{
				Name:        fmt.Sprint("i", i),
				Incarnation: fmt.Sprint(i),
				Cores:       rapid.SampledFrom([]float64{0, 0.2, 0.5, 0.8}).Draw(t, "cores"),
				Leaving:     rapid.Bool().Draw(t, "leaving"),
			}
			r.members[m.Name] = m
			r.SetSelf(m)
		}
		r.updateView()
		members, eligible := r.Members(), Eligible(r.Members())
		for i := range 100 {
			name := fmt.Sprint("i", i)
			want := slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
			if r.Present(name) != want || r.Alive(name, fmt.Sprint(i)) != want || r.Alive(name, "other") {
				t.Fatalf("%s is present: %v", name, want)
			}
		}
		first := ""
		if len(eligible) > 0 {
			first = eligible[0].Name
		}
		if r.FirstEligible() != first {
			t.Fatalf("first %q, wanted %q", r.FirstEligible(), first)
		}
		if self := r.Self(); r.Eligible() != slices.Contains(eligible, self) {
			t.Fatalf("self is eligible: %v", r.Eligible())
		}
		slices.SortFunc(eligible, func(a, b Member) int {
			if member.Score(a.Name, "key") > member.Score(b.Name, "key") {
				return -1
			}
			return 1
		})
		n := rapid.IntRange(0, 4).Draw(t, "n")
		if got := Ranked(members, "key", n); !slices.Equal(got, eligible[:min(n, len(eligible))]) {
			t.Fatalf("ranked %v of %v", got, eligible)
		}
	})
}

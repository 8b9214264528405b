package registry

import (
	"testing"

	"github.com/matryer/is"
)

// Instances of very different sizes share a deployment. A step of two hundred
// streams would take too long on the smallest, so it must run on one of the large
// ones that are not leaving.
func TestEligibleExcludesSmallAndLeaving(t *testing.T) {
	is := is.New(t)
	members := []Member{
		{Name: "small", Cores: 0.134},
		{Name: "large", Cores: 0.8},
		{Name: "large-leaving", Cores: 0.8, Leaving: true},
		{Name: "fair", Cores: 0.5},
	}
	var names []string
	for _, m := range Eligible(members) {
		names = append(names, m.Name)
	}
	is.Equal(names, []string{"large", "fair"})
	is.Equal(len(Eligible(members[:1])), 1)                 // the only instance
	is.Equal(len(Eligible([]Member{{Name: "unknown"}})), 1) // reports no cores
}

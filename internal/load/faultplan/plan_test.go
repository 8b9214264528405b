package faultplan

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A failed soak test is reproduced by its seed. Guards against a plan that differs
// between two runs of one seed, that leaves no time to check the recovery, or that
// never contains some kind of fault.
func TestPlan(t *testing.T) {
	is := is.New(t)
	a, b := Generate(7, time.Minute, 5, 6), Generate(7, time.Minute, 5, 6)
	is.Equal(a, b)
	is.True(len(a) > 8)
	is.True(Generate(8, time.Minute, 5, 6)[0] != a[0])
	seen := map[Kind]bool{}
	for seed := range uint64(40) {
		for _, f := range Generate(seed, time.Minute, 5, 6) {
			seen[f.Kind] = true
			is.True(f.Start+f.Duration+RecoveryTime <= time.Minute)
			is.True(f.Target < 6)
		}
	}
	is.Equal(len(seen), len(Kinds()))
	is.Equal(LeaseEnds.String(), "lease_ends")
	is.Equal(Kind(99).String(), "kind 99")
}

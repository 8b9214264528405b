package descriptor

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/standin/property"
)

// Guards against a press of one use, such as callers, that takes the descriptors of the others, and
// against more connections than there are descriptors.
func TestNoUseTakesTheDescriptorsOfAnother(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		b := New(rapid.IntRange(minLimit, 9000).Draw(t, "limit"))
		pressing := Use(rapid.IntRange(0, int(useCount)-1).Draw(t, "pressing"))
		for b.Take(pressing) {
		}
		if n := b.Held(pressing); n > b.limit*(ownEighths[pressing]+sharedEighths)/8 {
			t.Fatalf("use %d holds %d of %d", pressing, n, b.limit)
		}
		sum := b.Held(pressing)
		for u := range useCount {
			for n := 0; u != pressing && n < b.own(u); n++ {
				if !b.Take(u) {
					t.Fatalf("use %d has only %d of its own %d", u, n, b.own(u))
				}
				sum++
			}
		}
		if sum > b.limit {
			t.Fatalf("%d connections with a limit of %d", sum, b.limit)
		}
	})
}

// Guards against descriptors that are lost when connections come and go.
func TestReturnedDescriptorsAreFree(t *testing.T) {
	is := is.New(t)
	b := New(minLimit)
	for range 10 * minLimit {
		is.True(b.Take(Callers))
		b.Return(Callers)
	}
	is.Equal(b.Held(Callers), 0)
	is.Equal(b.Refused(Callers), 0)
	var none *Budget
	is.True(none.Take(Peers))
	none.Return(Peers)
}

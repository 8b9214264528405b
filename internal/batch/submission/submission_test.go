package submission

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against organisations that reach each other's batches by choosing a name.
func TestScopedIDsDiffer(t *testing.T) {
	is := is.New(t)
	is.Equal(ScopedID("7c", ""), "7c")
	is.Equal(ScopedID("7c", "saddlers"), "7c@saddlers")
	is.True(ScopedID("7c", "a@b") != ScopedID("7c@a", "b"))
	is.True(ScopedID("7c", "a") != ScopedID("7c%40a", ""))
	is.True(ScopedID("7c/part/00", "a") != ScopedID("7c", "a")+"/part/00")
}

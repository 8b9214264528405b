package submission

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against organisations that reach each other's batches by choosing a name.
func TestScope(t *testing.T) {
	is := is.New(t)
	is.Equal(Scope("7c", ""), "7c")
	is.Equal(Scope("7c", "saddlers"), "7c@saddlers")
	is.True(Scope("7c", "a@b") != Scope("7c@a", "b"))
	is.True(Scope("7c", "a") != Scope("7c%40a", ""))
	is.True(Scope("7c/part/00", "a") != Scope("7c", "a")+"/part/00")
}

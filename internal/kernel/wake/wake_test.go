package wake

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a signal that is lost when nobody waits yet, and against one wake-up
// for each of several signals.
func TestSignalsBeforeWaitAreCoalesced(t *testing.T) {
	is := is.New(t)
	var s Signal
	s.Set()
	s.Set()
	<-s.C()
	is.Equal(len(s.C()), 0)
}

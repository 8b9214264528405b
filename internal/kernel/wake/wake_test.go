package wake

import (
	"testing"

	"github.com/matryer/is"
)

func TestSetBeforeTheWaiterComesIsKeptOnce(t *testing.T) {
	is := is.New(t)
	var s Signal
	s.Set()
	s.Set()
	<-s.C()
	is.Equal(len(s.C()), 0)
}

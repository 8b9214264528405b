package secret

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// Guards against instances with different secrets, none of which recognises what
// another one has seen, also if the answer to the write is lost.
func TestAllShareOneSecret(t *testing.T) {
	is := is.New(t)
	for _, fault := range []space.Fault{space.None, space.LostAfter} {
		faults := 1
		store := &space.Space{
			Timer: &timer.Manual{},
			Fault: func(c space.Call) space.Fault {
				if c == space.Commit && faults > 0 {
					faults--
					return fault
				}
				return space.None
			},
		}
		a := Keeper{Space: store, Key: "k"}
		b := Keeper{Space: store, Key: "k"}
		first, err := a.Get(context.Background())
		is.NoErr(err)
		second, err := b.Get(context.Background())
		is.NoErr(err)
		is.True(bytes.Equal(first, second))
		is.Equal(len(first), secretLength)
	}
}

// Guards against an instance that uses a secret of its own during an outage of the
// key-value service.
func TestNoSecretWhileTheServiceIsAway(t *testing.T) {
	is := is.New(t)
	k := Keeper{
		Space: &space.Space{
			Timer: &timer.Manual{},
			Fault: func(space.Call) space.Fault { return space.Down },
		},
		Key: "k",
	}
	_, err := k.Get(context.Background())
	is.True(err != nil)
	is.Equal(k.Known(), nil)
	is.True(k.Take([]byte(`"c2hvcnQ="`)) != nil)
}

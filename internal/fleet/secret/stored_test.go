package secret

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// Guards against instances with different secrets, also if the answer to the write is
// lost: none of them would recognise the fingerprints that another one made.
func TestAllShareOneSecret(t *testing.T) {
	is := is.New(t)
	for _, fault := range []memorystore.Fault{memorystore.None, memorystore.LostAfter} {
		faults := 1
		store := &memorystore.Store{
			Timer: &timer.Manual{},
			Fault: func(c memorystore.Operation) memorystore.Fault {
				if c == memorystore.Commit && faults > 0 {
					faults--
					return fault
				}
				return memorystore.None
			},
		}
		a := StoredSecret{Store: store, Key: "k"}
		b := StoredSecret{Store: store, Key: "k"}
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
	s := StoredSecret{
		Store: &memorystore.Store{
			Timer: &timer.Manual{},
			Fault: func(memorystore.Operation) memorystore.Fault { return memorystore.Down },
		},
		Key: "k",
	}
	_, err := s.Get(context.Background())
	is.True(err != nil)
	is.Equal(s.Value(), nil)
	is.True(s.Set([]byte(`"c2hvcnQ="`)) != nil)
}

package secret

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
)

// gossipKey is the one key of gossip entries of kind secret.
const gossipKey = "fleet"

// Gossip holds the secret of instances that tell each other directly. Of several that
// are made at the same time the one with the highest version stays.
type Gossip struct {
	State *gossip.State
}

// Known returns the secret, or nil as long as it is not known here.
func (g *Gossip) Known() []byte {
	e, ok := g.State.Find(gossip.KindSecret, gossipKey)
	if !ok || len(e.Value) != length {
		return nil
	}
	return e.Value
}

// Get returns the secret. It makes one if there is none.
func (g *Gossip) Get(context.Context) ([]byte, error) {
	if s := g.Known(); s != nil {
		return s, nil
	}
	fresh := make([]byte, length+8)
	_, _ = rand.Read(fresh) // never fails
	g.State.Merge(gossip.Entry{
		Kind: gossip.KindSecret,
		Key:  gossipKey,
		Version: gossip.Version{
			Major: 1,
			Minor: binary.LittleEndian.Uint64(fresh[length:]),
		},
		Value: fresh[:length],
	})
	return g.Known(), nil
}

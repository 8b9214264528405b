package secret

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
)

// gossipKey is the only key of gossip entries of kind secret.
const gossipKey = "fleet"

// GossipSecret shares the secret by gossip. If several instances create one at the same time,
// the one with the highest version wins.
type GossipSecret struct {
	State *gossip.State
}

// Value returns the secret, or nil while this instance does not know it.
func (g *GossipSecret) Value() []byte {
	e, ok := g.State.Find(gossip.KindSecret, gossipKey)
	if !ok || len(e.Value) != secretLength {
		return nil
	}
	return e.Value
}

// Get returns the secret and creates it if this instance knows none.
func (g *GossipSecret) Get(context.Context) ([]byte, error) {
	if s := g.Value(); s != nil {
		return s, nil
	}
	fresh := make([]byte, secretLength+8)
	_, _ = rand.Read(fresh) // never fails
	g.State.Merge(gossip.Entry{
		Kind: gossip.KindSecret,
		Key:  gossipKey,
		Version: gossip.Version{
			Major: 1,
			Minor: binary.LittleEndian.Uint64(fresh[secretLength:]),
		},
		Value: fresh[:secretLength],
	})
	return g.Value(), nil
}

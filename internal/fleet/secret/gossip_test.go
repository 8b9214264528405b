package secret

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
)

// Guards against two secrets that are created at the same time and both remain in use.
func TestGossipAgreesOnOneSecret(t *testing.T) {
	is := is.New(t)
	var x, y gossip.State
	a, b := GossipSecret{State: &x}, GossipSecret{State: &y}
	_, err := a.Get(context.Background())
	is.NoErr(err)
	_, err = b.Get(context.Background())
	is.NoErr(err)
	x.MergeAll(y.List(gossip.KindSecret))
	y.MergeAll(x.List(gossip.KindSecret))
	is.Equal(len(a.Value()), secretLength)
	is.True(bytes.Equal(a.Value(), b.Value()))
}

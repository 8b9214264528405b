package crashnotice

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
)

// Guards against notices that are delivered again with each change of another entry, and
// against an entry that does not expire.
func TestGossipDeliversEachNoticeOnce(t *testing.T) {
	is := is.New(t)
	f := newBoardFixture()
	var state gossip.State
	a, b := f.board("a"), f.board("b")
	a.Publisher = &GossipPublisher{State: &state, Key: "a"}
	b.Publisher = &GossipPublisher{State: &state, Key: "b"}
	listener := Listener{State: &state, Board: b}
	f.crashUpstreams(a, "deadly", 0, 4)
	is.NoErr(a.publishNow(context.Background()))
	changes := listener.newEntries()
	is.Equal(len(changes), 1)
	b.Apply(changes)
	is.True(judge(b, "deadly").Quarantined())
	f.crashUpstreams(b, "other", 10, 1)
	is.NoErr(b.publishNow(context.Background()))
	is.Equal(len(listener.newEntries()), 0) // only its own entry changed
	is.NoErr(a.Publisher.Renew(context.Background()))
	is.Equal(len(listener.newEntries()), 0) // too early for a new version
	is.Equal(state.Expire(time.Now().Add(2*noticeTTL).Unix()), 2)
	is.NoErr(a.Publisher.Renew(context.Background())) // nothing to renew
	is.Equal(len(listener.newEntries()), 0)
}

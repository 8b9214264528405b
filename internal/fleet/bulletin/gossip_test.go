package bulletin

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
)

// Guards against notices that are taken again with each change of another's, and against an
// entry that outlives its time.
func TestGossipTellsEachNoticeOnce(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	var state gossip.State
	a, b := d.board("a"), d.board("b")
	a.Poster = &Gossip{State: &state, Key: "a"}
	b.Poster = &Gossip{State: &state, Key: "b"}
	hears := Listener{State: &state, Board: b}
	d.ended(a, "deadly", 0, 4)
	is.NoErr(a.write(context.Background()))
	news := hears.news()
	is.Equal(len(news), 1)
	b.Take(news)
	is.True(judge(b, "deadly").Refused())
	d.ended(b, "other", 10, 1)
	is.NoErr(b.write(context.Background()))
	is.Equal(len(hears.news()), 0) // its own, and nothing new
	is.NoErr(a.Poster.Renew(context.Background()))
	is.Equal(len(hears.news()), 0) // it lasts for a while
	is.Equal(state.Expire(time.Now().Add(2*lasts).Unix()), 2)
	is.NoErr(a.Poster.Renew(context.Background())) // nothing to renew
	is.Equal(len(hears.news()), 0)
}

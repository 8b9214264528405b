package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Two routes of one host overlap. Guards against routing a request to a route other than the
// one with the longest prefix, in whatever order they are configured.
func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	cfg := Configuration{
		Version: 1,
		Routes: []Route{
			{Name: "all", Host: "h", Prefix: "/"},
			{Name: "cuts", Host: "h", Prefix: "/cuts/"},
			{Name: "other", Host: "g", Prefix: "/cuts/hides/"},
		},
	}.WithIndex()
	r, ok := cfg.Find("h", "/cuts/hides/7")
	is.True(ok)
	is.Equal(r.Name, "cuts")
	_, ok = cfg.Find("unknown", "/")
	is.Equal(ok, false)
}

// Guards against a split that does not follow the weights of the services.
func TestSplitByWeight(t *testing.T) {
	is := is.New(t)
	r := Route{
		Split: []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
	}
	is.Equal(r.ChooseService(0.89), "a")
	is.Equal(r.ChooseService(0.91), "b")
	is.Equal(Route{}.ChooseService(0.5), "")
}

// After an outage the service returns an older configuration. Guards against putting it into
// force after an operator was told that the newer one was accepted.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var h Holder
	is.True(h.Update(Configuration{Version: 4}.WithIndex()))
	is.Equal(h.Update(Configuration{Version: 3}.WithIndex()), false)
	is.Equal(h.Update(Configuration{Version: 4}.WithIndex()), false)
	is.Equal(h.Current().Version, uint64(4))
}

func newEntry(id string, born int64, leaving bool) Entry {
	return Entry{
		ID:      id,
		Service: "s",
		Address: "a",
		Slots:   4,
		Born:    born,
		Leaving: leaving,
	}
}

// An upstream leaves and starts again with the same ID. Guards against carrying the leaving mark
// over to the next incarnation, and against removing it within one.
func TestIncarnationsOfAnUpstream(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	b := &Upstreams{
		Timer: clock,
	}
	now := clock.Now().Add(time.Hour)
	b.Update([]Entry{newEntry("u", 1, false)}, nil)
	first := b.Group("s").Upstreams[0]
	is.True(first.Usable(now))
	b.Update([]Entry{newEntry("u", 1, true)}, nil)
	b.Update([]Entry{newEntry("u", 1, false)}, nil)
	is.Equal(first.Usable(now), false) // the leaving mark can't be removed
	b.Update([]Entry{newEntry("u", 2, false)}, nil)
	second := b.Group("s").Upstreams[0]
	is.True(second != first)
	is.True(second.Usable(now))
	b.Update(nil, []string{"u"})
	is.Equal(len(b.Group("s").Upstreams), 0)
	is.Equal(second.Usable(now), false) // an upstream whose entry is removed is leaving
}

package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Two routes of one host overlap. A request goes to the one with the longest
// prefix, whatever their order in the configuration.
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

// A route is split. Each service gets its weight's part.
func TestSplit(t *testing.T) {
	is := is.New(t)
	r := Route{
		Split: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
	}
	is.Equal(r.Choose(0.89), "a")
	is.Equal(r.Choose(0.91), "b")
	is.Equal(Route{}.Choose(0.5), "")
}

// After an outage the service answers with an older configuration. It must not
// come into force: an operator was told that the newer one was accepted.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var h Holder
	is.True(h.Take(Configuration{Version: 4}.WithIndex()))
	is.Equal(h.Take(Configuration{Version: 3}.WithIndex()), false)
	is.Equal(h.Take(Configuration{Version: 4}.WithIndex()), false)
	is.Equal(h.Current().Version, uint64(4))
}

func listed(id string, born int64, leaving bool) Listed {
	return Listed{
		ID:      id,
		Service: "s",
		Address: "a",
		Slots:   4,
		Born:    born,
		Leaving: leaving,
	}
}

// An upstream leaves, and starts again under its old id. The leaving mark of one
// life must not go over to the next, nor may it be taken back within a life.
func TestLivesOfAnUpstream(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	b := &Book{
		Timer: clock,
	}
	now := clock.Now().Add(time.Hour)
	b.Update([]Listed{listed("u", 1, false)}, nil)
	first := b.Group("s").Upstreams[0]
	is.True(first.Usable(now))
	b.Update([]Listed{listed("u", 1, true)}, nil)
	b.Update([]Listed{listed("u", 1, false)}, nil)
	is.Equal(first.Usable(now), false) // leaving can't be unsaid
	b.Update([]Listed{listed("u", 2, false)}, nil)
	second := b.Group("s").Upstreams[0]
	is.True(second != first)
	is.True(second.Usable(now))
	b.Update(nil, []string{"u"})
	is.Equal(len(b.Group("s").Upstreams), 0)
	is.Equal(second.Usable(now), false) // a removed entry is a leaving one
}

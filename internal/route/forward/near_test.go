package forward

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Guards against requests that cross regions while upstreams near by have free slots, and
// against those that wait for near ones while others are free.
func TestNearUpstreamsComeFirst(t *testing.T) {
	is := is.New(t)
	f, stop := newForwarder(&sender{}, 0)
	defer stop()
	var list []catalog.Entry
	for i := range 6 {
		list = append(list, catalog.Entry{
			ID:      fmt.Sprint("u", i),
			Service: "s",
			Region:  []string{"north", "south"}[i%2],
			Slots:   2,
		})
	}
	f.Upstreams.Update(list, nil)
	f.Near = residency.FromList([]string{"south"})
	choose := func(tried int) *catalog.Upstream {
		d := &dispatch{f: f, group: f.Upstreams.Group("s"), service: "s", sent: tried}
		return d.chooseUpstream()
	}
	for range 20 {
		is.Equal(choose(0).Listed().Region, "south")
	}
	regions := make(map[string]bool)
	for range 50 {
		regions[choose(1).Listed().Region] = true
	}
	is.Equal(len(regions), 2) // a second attempt goes anywhere

	for _, u := range f.Upstreams.Group("s").Upstreams {
		if u.Listed().Region == "south" {
			u.Begin()
			u.Begin()
		}
	}
	far := 0
	for range 50 {
		if choose(0).Listed().Region == "north" {
			far++
		}
	}
	is.True(far > 25) // the less loaded of any two, as those near by have no free slot
	for _, u := range f.Upstreams.Group("s").Upstreams {
		if u.Listed().Region == "south" {
			u.Cancelled()
			u.Cancelled()
			u.Unreachable(f.Timer.Now())
		}
	}
	is.Equal(choose(0).Listed().Region, "north")
}

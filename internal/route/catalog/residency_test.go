package catalog

import (
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Guards against a part that is computed for each request, against one that is kept after an
// upstream was mapped to another region, and against a cost for requests without a restriction.
func TestPartsOfGroupsAreCached(t *testing.T) {
	is := is.New(t)
	b := &Upstreams{Timer: timer.Real{}}
	b.Update([]Entry{{ID: "n", Service: "s", Region: "north"}, {ID: "s", Service: "s", Region: "south"}, {ID: "u", Service: "s"}}, nil)
	north := residency.FromList([]string{"north"})
	g := b.Group("s")
	is.True(g.In(residency.Regions{}) == g)
	is.Equal(testing.AllocsPerRun(100, func() { b.Group("s").In(residency.Regions{}) }), 0.0)
	part := g.In(north)
	is.True(g.In(residency.FromList([]string{"north", "north"})) == part)
	is.Equal(len(part.Upstreams), 1)
	is.Equal(part.Upstreams[0].ID, "n")
	is.Equal(part.Set.Total, 1)
	is.Equal(len(g.In(residency.FromList([]string{})).Upstreams), 0)
	b.Update([]Entry{{ID: "s", Service: "s", Region: "north"}}, nil)
	is.Equal(len(b.Group("s").In(north).Upstreams), 2)
}

// Guards against a request that is refused although another service of its route has an upstream
// in an allowed region.
func TestServiceInAllowedRegionIsChosen(t *testing.T) {
	is := is.New(t)
	b := &Upstreams{Timer: timer.Real{}}
	b.Update([]Entry{{ID: "a", Service: "canary", Region: "south"}, {ID: "b", Service: "main", Region: "north"}}, nil)
	route := Route{Split: []WeightedService{{Service: "canary", Weight: 1}, {Service: "main", Weight: 9}}}
	is.Equal(b.ChooseService(route, residency.FromList([]string{"north"}), 0), "main")
	is.Equal(b.ChooseService(route, residency.Regions{}, 0), "canary")
}

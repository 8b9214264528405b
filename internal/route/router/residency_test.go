package router_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/roster"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/route/router"
	"github.com/egretbend/egretbend/internal/route/upstream"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// Guards against a request of the documented interface that is sent to an upstream in a region
// that its deployment or its organisation does not allow, also if the configuration changes
// between two attempts.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	property.CheckN(t, 200, func(t *rapid.T) {
		regions := map[string]string{"n1": "north", "n2": "north", "s1": "south"}
		var list []roster.Instance
		for i, domain := range rapid.SliceOfN(rapid.SampledFrom([]string{"n1", "n2", "s1", "unknown"}), 1, 6).Draw(t, "upstreams") {
			list = append(list, roster.Instance{ID: fmt.Sprint("u", i), Group: "g", Address: fmt.Sprint("a", i), FailureDomain: domain, Incarnation: 1})
		}
		holder, table := &configuration.Holder{}, &upstream.Table{}
		table.SetRegions(regions)
		var allowed residency.Regions
		configure := func(revision uint64, rebuild bool) {
			lists := [][]string{nil, nil, {"north"}, {"south"}, {"north", "south"}, {"elsewhere"}}
			ofDeployment, _ := json.Marshal(rapid.SampledFrom(lists).Draw(t, "deployment"))
			ofOrganisation, _ := json.Marshal(rapid.SampledFrom(lists).Draw(t, "organisation"))
			doc, err := configuration.Decode([]byte(fmt.Sprintf(`{"configuration": {"format": 1, "team": "t",
				"deployments": [{"name": "s", "group": "g", "kind": "service", "attempts": 4, "allowed_regions": %s}],
				"organisations": [{"name": "o", "allowed_regions": %s}]}}`, ofDeployment, ofOrganisation)), revision)
			if err != nil {
				t.Fatal(err)
			}
			holder.Update(doc)
			if rebuild {
				table.Build(doc.Parsed(), member.Member{ID: "i"}, list, timer.Real{}.Now())
			}
			d, _ := doc.Parsed().Deployment("s")
			allowed = d.Regions().Intersect(doc.Organisations().Regions("o"))
		}
		configure(1, true)
		r := &router.Router{
			Table: table, Configuration: holder, Limiter: &limit.Limiter{Timer: timer.Real{}},
			Versions: &version.Table{State: &gossip.State{}}, Timer: timer.Real{},
		}
		dispatch, err := r.Admit(router.Request{RequestID: "x", Deployment: "s", Organisation: "o"})
		if allowed.Empty() != problem.Is(err, problem.RegionsEmpty) {
			t.Fatalf("allowed %s, but the error is %v", allowed, err)
		}
		for n := uint64(2); err == nil; n++ {
			var u *upstream.Upstream
			if u, err = dispatch.NextUpstream(); err == nil && !allowed.Allows(regions[u.FailureDomain]) {
				t.Fatalf("%s was chosen, allowed %s", u.FailureDomain, allowed)
			}
			configure(n, rapid.Bool().Draw(t, "rebuilt"))
		}
	})
}

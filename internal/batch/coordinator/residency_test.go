package coordinator

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// checkBatchesStayInRegions submits and reads batches while instances are lost and the
// configuration changes.
func checkBatchesStayInRegions(enforced bool) func(*rapid.T) {
	return func(t *rapid.T) {
		f := newRegionFleet(rapid.SliceOfN(rapid.SampledFrom([]string{"north", "south", "west", ""}), 2, 5).Draw(t, "instances"), enforced)
		defer f.stop()
		lists := [][]string{nil, nil, {}, {"north"}, {"south"}, {"north", "south"}, {"west", "south"}, {"unknown"}}
		version := uint64(0)
		configure := func(t *rapid.T) {
			version++
			f.config.Update(regionConfiguration(version, residency.FromList(rapid.SampledFrom(lists).Draw(t, "route")),
				residency.FromList(rapid.SampledFrom(lists).Draw(t, "organisation"))))
			f.settle()
		}
		configure(t)
		batches := 0
		node := func(t *rapid.T) *regionNode {
			n := rapid.SampledFrom(f.running()).Draw(t, "instance")
			f.setClient(n)
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"configure": configure,
			"submit": func(t *rapid.T) {
				batches++
				n, sub := node(t), testBatch(fmt.Sprint("b", batches))
				err := n.Submit(context.Background(), sub, f.config.Current().Routes[0])
				if empty := f.allowed().Empty(); enforced && empty != problem.Is(err, problem.RegionsEmpty) {
					t.Fatalf("allowed %s, but the error is %v", f.allowed(), err)
				}
				if accepted, _ := n.Ledger.Accepted(context.Background(), sub.ID); accepted != (err == nil) {
					t.Fatalf("accepted: %t, but the error is %v", accepted, err)
				}
				f.settle()
			},
			"read": func(t *rapid.T) {
				n, id := node(t), fmt.Sprint("b", rapid.IntRange(1, max(1, batches)).Draw(t, "batch"))
				_, _ = n.Read(context.Background(), id, 0, 0)
				_, _ = n.Coordinator.Body(context.Background(), id, id+"/x")
				f.settle()
			},
			"end": func(t *rapid.T) {
				_ = node(t).End(context.Background(), fmt.Sprint("b", rapid.IntRange(1, max(1, batches)).Draw(t, "batch")))
				f.settle()
			},
			"lose": func(t *rapid.T) {
				if len(f.running()) > 1 {
					f.lose(node(t))
				}
				f.settle()
			},
			"": func(t *rapid.T) {
				f.mu.Lock()
				defer f.mu.Unlock()
				if len(f.strays) > 0 {
					t.Fatalf("left the allowed regions: %v", f.strays)
				}
			},
		})
	}
}

// Guards against a batch whose body, results or run reach an instance in a region that is not
// allowed, or that waits although an instance may run it: when it is accepted, read, taken over
// or handed over, and when the configuration changes.
func TestBatchesStayInAllowedRegions(t *testing.T) {
	property.CheckN(t, 60, checkBatchesStayInRegions(true))
}

// Instances that don't know the restrictions spread batches over all regions.
func TestBatchesLeaveRegionsWithoutRestrictions(t *testing.T) {
	property.CheckFails(t, checkBatchesStayInRegions(false))
}

// Guards against a batch that stays at a home which is no longer allowed, and one that is lost
// while no allowed instance is there, or whose successor would be in another region.
func TestBatchFollowsAllowedRegion(t *testing.T) {
	is := is.New(t)
	f := newRegionFleet([]string{"north", "south", "south", "south", "south", "north"}, true)
	defer f.stop()
	only := func(version uint64, region string) {
		f.config.Update(regionConfiguration(version, residency.FromList([]string{region}), residency.Regions{}))
		f.settle()
	}
	home := func() *regionNode {
		i := slices.IndexFunc(f.nodes, func(n *regionNode) bool { return !n.gone && n.Runner.Has("b") })
		if i < 0 {
			return &regionNode{}
		}
		return f.nodes[i]
	}
	only(1, "north")
	is.NoErr(f.nodes[1].Submit(context.Background(), testBatch("b"), f.config.Current().Routes[0]))
	is.Equal(home().member.Region, "north")
	only(2, "south")
	is.Equal(home().member.Region, "south")
	only(3, "west")
	is.Equal(home().member.Region, "")
	only(4, "north")
	is.Equal(home().member.Region, "north")
	f.lose(home())
	f.settle()
	is.Equal(home().member.Region, "north")
	is.Equal(len(f.strays), 0)
}

// Guards against a restricted batch that is refused forever because nobody learns that its regions
// need engines, and against a hint to all instances at each retry.
func TestRefusedBatchCreatesDemand(t *testing.T) {
	is := is.New(t)
	f := newRegionFleet([]string{"north", "south"}, true)
	defer f.stop()
	f.config.Update(regionConfiguration(1, residency.FromList([]string{"north"}), residency.Regions{}))
	var hints []OwnerHint
	n := f.nodes[1]
	n.OnAccepted = func(h OwnerHint) { hints = append(hints, h) }
	n.Runner.Upstreams.Update(nil, []string{"i0"})
	for _, id := range []string{"b", "b", "c"} {
		err := n.Submit(context.Background(), testBatch(id), f.config.Current().Routes[0])
		is.True(problem.Is(err, problem.RegionUnavailable))
	}
	is.Equal(len(hints), 1)
	is.True(hints[0].Refused)
	is.Equal(hints[0].Items, 1)
	is.Equal(hints[0].Binding.Host, "h")
	_, owned := n.hintedOwner("b")
	is.True(!owned)
}

// Guards against a batch that an instance with an older configuration accepts after its home has
// refused it by a newer one.
func TestOlderConfigurationDoesNotOverruleHome(t *testing.T) {
	is := is.New(t)
	f := newRegionFleet([]string{"north", "south", "south", "south"}, true)
	defer f.stop()
	homes := Homes(f.members, "south", "m")
	i := slices.IndexFunc(f.nodes, func(n *regionNode) bool { return n.member.Region == "south" && !slices.Contains(homes, n.member) })
	n := f.nodes[i]
	older := &catalog.Holder{}
	older.Update(regionConfiguration(1, residency.Regions{}, residency.Regions{}))
	n.Config, n.Runner.Configuration = older, older
	f.config.Update(regionConfiguration(2, residency.FromList([]string{"north"}), residency.Regions{}))
	err := n.Submit(context.Background(), testBatch("b"), older.Current().Routes[0])
	is.True(problem.Is(err, problem.RegionUnavailable))
	is.Equal(problem.From(err).Kind.Outcome, problem.NotRun)
	is.True(problem.From(err).RetryAfter > 0)
	is.True(!n.Runner.Has("b"))
}

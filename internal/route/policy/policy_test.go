package policy_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/outside/roster"
	"github.com/egretbend/egretbend/internal/route/policy"
	"github.com/egretbend/egretbend/internal/route/upstream"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// newSet returns a set of n upstreams in four failure domains with 8 slots each.
func newSet(n int, now timer.Instant) *upstream.Set {
	var table upstream.Table
	var list []roster.Instance
	for i := range n {
		list = append(list, roster.Instance{
			ID:            fmt.Sprintf("u%d", i),
			Group:         "g",
			Address:       fmt.Sprintf("127.0.0.1:%d", i+1),
			FailureDomain: fmt.Sprintf("d%d", i%4),
			Incarnation:   1,
		})
	}
	table.Build(&configuration.Configuration{
		Deployments: []configuration.Deployment{{
			Name:       "m",
			Group:      "g",
			SubsetSize: 2000,
			Slots:      8,
		}},
	}, member.Member{
		ID:            "self",
		FailureDomain: "d0",
	}, list, now)
	return table.Set("m")
}

// Guards against a request that is sent to an upstream known to be leaving, tried or
// too old, and against a refusal although an upstream could have served it. Upstreams
// leave, fail and report old weights at random.
func TestChoiceIsUsableIfAnyIs(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		clock := &timer.Manual{}
		clock.Advance(time.Hour)
		s := newSet(rapid.IntRange(1, 12).Draw(t, "upstreams"), clock.Now())
		p, err := policy.Find(rapid.SampledFrom(policy.Names()).Draw(t, "policy"))
		if err != nil {
			t.Fatalf("policy: %v", err)
		}
		for _, u := range s.Upstreams {
			switch rapid.IntRange(0, 4).Draw(t, "state") {
			case 0:
				u.MarkLeaving()
			case 1:
				for range 5 {
					u.Begin()
					u.Failed(clock.Now())
				}
			case 2:
				u.RecordReport(engine.LoadReport{
					Running: 3,
					Version: version.Version{
						Epoch:  1,
						Number: rapid.Uint64Range(1, 5).Draw(t, "version"),
					},
				}, clock.Now())
			}
		}
		q := policy.Query{
			Random:     rapid.Uint64().Draw(t, "random"),
			PrefixHash: rapid.Uint64().Draw(t, "key"),
			Now:        clock.Now(),
			Oldest: version.Version{
				Epoch:  1,
				Number: 3,
			},
		}
		usable := func(u *upstream.Upstream) bool {
			r, _, ok := u.Report(q.Now)
			return !u.Leaving() && u != q.Tried[0] && (!ok || !r.Version.Less(q.Oldest))
		}
		if rapid.Bool().Draw(t, "tried") {
			q.Tried[0] = s.Upstreams[0]
		}
		any, healthy := false, false
		for _, u := range s.Upstreams {
			any = any || usable(u)
			healthy = healthy || (usable(u) && !u.Ejected(q.Now))
		}
		c := p.Choose(s, q)
		switch {
		case c.Upstream == nil && any:
			t.Fatalf("none of %d upstreams was chosen although one is usable", len(s.Upstreams))
		case c.Upstream != nil && !usable(c.Upstream):
			t.Fatalf("%s was chosen, which is leaving, tried or too old", c.Upstream.ID)
		case c.Upstream != nil && healthy && c.Upstream.Ejected(q.Now):
			t.Fatalf("%s was chosen, which is ejected, although others are not", c.Upstream.ID)
		}
	})
}

// Guards against a request that is refused although the only remaining upstream could
// serve it: all others are leaving, that one is ejected, and the random number is so
// large that adding to it overflows.
func TestFallbackConsidersEveryUpstream(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	for _, name := range policy.Names() {
		for last := range 5 {
			s := newSet(5, clock.Now())
			for i, u := range s.Upstreams {
				if i != last {
					u.MarkLeaving()
					continue
				}
				for range 5 {
					u.Begin()
					u.Failed(clock.Now())
				}
			}
			p, err := policy.Find(name)
			is.NoErr(err)
			c := p.Choose(s, policy.Query{
				Random: math.MaxUint64,
				Now:    clock.Now(),
			})
			is.Equal(c.Upstream, s.Upstreams[last])
		}
	}
}

// Guards against an upstream that fails every request and keeps getting some, and
// against one that is never used again after its ejection.
func TestFailingUpstreamIsEjectedAndReturns(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	s := newSet(4, clock.Now())
	u := s.Upstreams[0]
	for range 5 {
		u.Begin()
		u.Failed(clock.Now())
	}
	is.True(!u.Usable(clock.Now()))
	clock.Advance(time.Minute)
	is.True(u.Usable(clock.Now()))
	is.True(u.Load(clock.Now()) > 0)
}

// BenchmarkChoose measures one choice of each policy for 10 and 900 upstreams.
func BenchmarkChoose(b *testing.B) {
	for _, name := range policy.Names() {
		for _, n := range []int{10, 900} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				clock := &timer.Manual{}
				clock.Advance(time.Hour)
				s := newSet(n, clock.Now())
				p, err := policy.Find(name)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportAllocs()
				random := uint64(1)
				for b.Loop() {
					random = random*6364136223846793005 + 1442695040888963407
					c := p.Choose(s, policy.Query{
						Random:     random,
						PrefixHash: random >> 58,
						Now:        clock.Now(),
					})
					c.Upstream.Begin()
					c.Upstream.Cancelled()
				}
			})
		}
	}
}

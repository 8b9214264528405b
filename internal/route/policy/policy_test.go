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
	"github.com/egretbend/egretbend/internal/standin/proof"
)

func set(n int, now timer.Instant) *upstream.Set {
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

// Upstreams leave, fail and come back with old weights while requests are
// routed. A caller would notice a request that fails at an upstream which was
// known to be leaving, or a refusal while one could have served it.
func TestChoiceIsUsableIfAnyIs(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		clock := &timer.Manual{}
		clock.Advance(time.Hour)
		s := set(rapid.IntRange(1, 12).Draw(t, "upstreams"), clock.Now())
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
				u.Heard(engine.Report{
					Running: 3,
					Version: version.Version{
						Epoch:  1,
						Number: rapid.Uint64Range(1, 5).Draw(t, "version"),
					},
				}, clock.Now())
			}
		}
		q := policy.Query{
			Random: rapid.Uint64().Draw(t, "random"),
			Key:    rapid.Uint64().Draw(t, "key"),
			Now:    clock.Now(),
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
			healthy = healthy || (usable(u) && !u.Out(q.Now))
		}
		c := p.Choose(s, q)
		switch {
		case c.Upstream == nil && any:
			t.Fatalf("none was chosen of %d though one is usable", len(s.Upstreams))
		case c.Upstream != nil && !usable(c.Upstream):
			t.Fatalf("%s was chosen, which is leaving, tried or too old", c.Upstream.ID)
		case c.Upstream != nil && healthy && c.Upstream.Out(q.Now):
			t.Fatalf("%s was chosen, which is out, though others are not", c.Upstream.ID)
		}
	})
}

// All upstreams but one are leaving, that one is out, and the random number is
// so large that counting on from it wraps around. A caller would be refused
// though the one could serve it. Found by fuzzing with fresh seeds.
func TestLastHopeLooksEverywhere(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	for _, name := range policy.Names() {
		for last := range 5 {
			s := set(5, clock.Now())
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

// One upstream fails every request. Callers would notice that a share of their
// requests goes on failing.
func TestFailingUpstreamIsTakenOutAndComesBack(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	s := set(4, clock.Now())
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

// BenchmarkChoose measures one decision.
func BenchmarkChoose(b *testing.B) {
	for _, name := range policy.Names() {
		for _, n := range []int{10, 900} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				clock := &timer.Manual{}
				clock.Advance(time.Hour)
				s := set(n, clock.Now())
				p, err := policy.Find(name)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportAllocs()
				random := uint64(1)
				for b.Loop() {
					random = random*6364136223846793005 + 1442695040888963407
					c := p.Choose(s, policy.Query{
						Random: random,
						Key:    random >> 58,
						Now:    clock.Now(),
					})
					c.Upstream.Begin()
					c.Upstream.Ended()
				}
			})
		}
	}
}

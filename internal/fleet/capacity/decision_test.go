package capacity

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/duty"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// fourDomains returns a group with twelve on-demand engines in each of four failure domains.
func fourDomains(items int) Group {
	g := Group{
		Slots:        8,
		MaxPerDomain: 24,
		Items:        items,
	}
	for i, price := range []float64{1, 0.8, 1.25, 0.9} {
		g.Domains = append(g.Domains, Domain{
			Name:     string(rune('a' + i)),
			Price:    price,
			OnDemand: 12,
		})
	}
	return g
}

func counts(targets []Target) []int {
	var list []int
	for _, t := range targets {
		list = append(list, t.Count)
	}
	return list
}

// Guards against long items that wait for a slot when several steps arrive at once.
func TestTargetsProvideSlotsForAllItems(t *testing.T) {
	is := is.New(t)
	is.Equal(counts(Targets(fourDomains(0))), []int{0, 0, 0, 0})
	is.Equal(counts(Targets(fourDomains(300))), []int{0, 0, 0, 0})     // 47 engines
	is.Equal(counts(Targets(fourDomains(568))), []int{10, 11, 10, 10}) // 89 engines
	is.Equal(counts(Targets(fourDomains(5000))), []int{12, 12, 12, 12})
}

// Guards against a shortfall when a failure domain has no capacity: the others have to make
// up for it.
func TestTargetsSkipDomainsWithoutCapacity(t *testing.T) {
	is := is.New(t)
	g := fourDomains(480)
	is.Equal(counts(Targets(g)), []int{7, 7, 6, 7})
	g.Domains[1].OutOfCapacity = true
	is.Equal(counts(Targets(g)), []int{9, 0, 9, 9})
	g.Domains[1].Reclaimable = 3
	is.Equal(counts(Targets(g)), []int{8, 3, 8, 8})
}

// Guards against targets that give engines back while there is work, exceed the maximum of
// a domain, or provide too few engines in total.
func TestTargetsRespectBounds(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		g := Group{
			Slots:        rapid.IntRange(1, 16).Draw(t, "slots"),
			MaxPerDomain: rapid.IntRange(1, 30).Draw(t, "most"),
			Items:        rapid.IntRange(0, 3000).Draw(t, "work"),
		}
		for range rapid.IntRange(1, 6).Draw(t, "domains") {
			onDemand := rapid.IntRange(0, g.MaxPerDomain).Draw(t, "lasting")
			g.Domains = append(g.Domains, Domain{
				Price:         rapid.Float64Range(0.1, 2).Draw(t, "price"),
				OnDemand:      onDemand,
				Reclaimable:   rapid.IntRange(0, g.MaxPerDomain-onDemand).Draw(t, "reclaimable"),
				OutOfCapacity: rapid.Bool().Draw(t, "dry"),
			})
		}
		engines, open := 0, false
		for i, target := range Targets(g) {
			d := g.Domains[i]
			if g.Items > 0 && target.Count < d.Reclaimable {
				t.Fatalf("domain %d gives back engines while there is work", i)
			}
			if d.OnDemand+target.Count > g.MaxPerDomain {
				t.Fatalf("domain %d has %d and %d engines of at most %d", i, d.OnDemand, target.Count, g.MaxPerDomain)
			}
			engines += d.OnDemand + target.Count
			open = open || !d.OutOfCapacity && d.OnDemand+target.Count < g.MaxPerDomain
		}
		if open && float64(engines*g.Slots) < float64(g.Items)*slotsPerItem {
			t.Fatalf("%d engines for %d items though domains below their maximum have capacity", engines, g.Items)
		}
	})
}

// Guards against engines for restricted items in domains where they may not run, and against too
// few engines for any set of items while the domains where these may run have capacity.
func TestTargetsRespectRegions(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		g := Group{
			Slots:        rapid.IntRange(1, 16).Draw(t, "slots"),
			MaxPerDomain: 2000,
			Domains: []Domain{
				{Name: "a", Region: "north", Price: 1, OnDemand: rapid.IntRange(0, 20).Draw(t, "a")},
				{Name: "b", Region: "north", Price: 1, OnDemand: rapid.IntRange(0, 20).Draw(t, "b")},
				{Name: "c", Region: "south", Price: 1, OnDemand: rapid.IntRange(0, 20).Draw(t, "c")},
				{Name: "d", Price: 0.5},
			},
		}
		north, south := rapid.IntRange(0, 300).Draw(t, "north"), rapid.IntRange(0, 300).Draw(t, "south")
		anywhere, nowhere := rapid.IntRange(0, 300).Draw(t, "anywhere"), rapid.IntRange(0, 300).Draw(t, "nowhere")
		g.Items = north + south + anywhere + nowhere
		g.Restricted = []Work{
			{Items: north, Regions: residency.FromList([]string{"north"})},
			{Items: south, Regions: residency.FromList([]string{"south"})},
			{Items: nowhere, Regions: residency.FromList([]string{"west"})},
		}
		targets := Targets(g)
		engines := func(domains ...int) float64 {
			n := 0
			for _, i := range domains {
				n += g.Domains[i].OnDemand + targets[i].Count
			}
			return float64(n * g.Slots)
		}
		if engines(0, 1) < float64(north)*slotsPerItem || engines(2) < float64(south)*slotsPerItem ||
			engines(0, 1, 2, 3) < float64(north+south+anywhere)*slotsPerItem {
			t.Fatalf("too few engines: %v", targets)
		}
		if anywhere == 0 && targets[3].Count > 0 {
			t.Fatalf("engines that may run nothing: %v", targets)
		}
	})
}

// Guards against engines ordered in a domain where no route to their models allows them, also
// after a change of the configuration, and if the origin of a step is not known.
func TestOrdererStaysInRegionsOfSteps(t *testing.T) {
	is := is.New(t)
	for _, origin := range []Origin{{Host: "h", Path: "/x"}, {}} {
		o, p, _, clock := newOrderer()
		o.Regions = map[string]string{"a": "north", "b": "south"}
		services := o.Config.Current().Services
		allow := func(version uint64, region string) {
			o.Config.Update(catalog.Configuration{
				Version:  version,
				Services: services,
				Routes: []catalog.Route{{
					Name: "r", Host: "h", Prefix: "/", Regions: residency.FromList([]string{region}),
					Split: []catalog.WeightedService{{Service: "s", Weight: 1}},
				}},
			}.WithIndex())
		}
		o.Demand.RecordStep("m", origin, 64, clock.Now())
		allow(2, "north")
		is.Equal(reconcileFor(o, p, clock, 3), []Order{{Service: "s", Domain: "a", Count: 10, Reclaimable: true}})
		allow(3, "south")
		is.Equal(reconcileFor(o, p, clock, 3), []Order{{Service: "s", Domain: "b", Count: 10, Reclaimable: true}})
	}
}

func TestDemandKeepsLargestRecentStep(t *testing.T) {
	is := is.New(t)
	var d Demand
	at := timer.Instant(0).Add(time.Hour)
	models := []string{"m", "n"}
	count := func(at timer.Instant) int {
		items, restricted := d.Work(models, func(Origin) residency.Regions { return residency.Regions{} }, at)
		is.Equal(len(restricted), 0)
		return items
	}
	is.Equal(count(at), 0)
	d.RecordStep("m", Origin{}, 100, at)
	d.RecordStep("m", Origin{}, 80, at.Add(30*time.Second))
	d.RecordStep("n", Origin{}, 50, at.Add(30*time.Second))
	d.RecordStep("x", Origin{}, 999, at)
	is.Equal(count(at.Add(40*time.Second)), 150)
	is.Equal(count(at.Add(70*time.Second)), 130)
	is.Equal(count(at.Add(3*time.Minute)), 0)
}

// fakePlatform records orders, and refuses those to the domains in err.
type fakePlatform struct {
	orders []Order
	err    map[string]error
}

// Order implements Platform.
func (p *fakePlatform) Order(_ context.Context, _ uint64, o Order) error {
	p.orders = append(p.orders, o)
	return p.err[o.Domain]
}

// fakeHolder is a Holder that may give orders while fence is not zero.
type fakeHolder struct {
	fence uint64
}

// FencingToken implements Holder.
func (h *fakeHolder) FencingToken() (uint64, bool) { return h.fence, h.fence != 0 }

// BeginCall implements Holder.
func (h *fakeHolder) BeginCall(ctx context.Context, fence uint64, _ time.Duration) (context.Context, func(), error) {
	if fence != h.fence {
		return nil, nil, duty.ErrWithheld
	}
	return ctx, func() {}, nil
}

func newOrderer() (*Orderer, *fakePlatform, *fakeHolder, *timer.Manual) {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	p := &fakePlatform{
		err: make(map[string]error),
	}
	h := &fakeHolder{
		fence: 7,
	}
	config := &catalog.Holder{}
	config.Update(catalog.Configuration{
		Version: 1,
		Services: map[string]catalog.Service{"s": {
			Name:   "s",
			Engine: &catalog.Engine{Slots: 8, Models: []string{"m"}},
			Scaling: &catalog.Scaling{
				MaxPerDomain: 24,
				BootTime:     4 * time.Second,
				Prices:       map[string]float64{"a": 1, "b": 1},
			},
		}},
	}.WithIndex())
	return &Orderer{
		Holder:    h,
		Platform:  p,
		Upstreams: &catalog.Upstreams{Timer: clock},
		Config:    config,
		Demand:    &Demand{},
		Timer:     clock,
	}, p, h, clock
}

// reconcileFor calls Reconcile once a second for some seconds and returns the orders made.
func reconcileFor(o *Orderer, p *fakePlatform, clock *timer.Manual, seconds int) []Order {
	p.orders = nil
	for range seconds {
		clock.Advance(time.Second)
		o.Reconcile(context.Background())
	}
	return p.orders
}

// setEngines replaces the listed engines by the given numbers in each failure domain.
func setEngines(o *Orderer, present map[string]int) {
	var entries []catalog.Entry
	for domain, n := range present {
		for i := range n {
			entries = append(entries, catalog.Entry{
				ID:            domain + string(rune('a'+i)),
				Service:       "s",
				FailureDomain: domain,
				Reclaimable:   true,
			})
		}
	}
	var gone []string
	for _, u := range o.Upstreams.Group("s").Upstreams {
		gone = append(gone, u.ID)
	}
	o.Upstreams.Update(nil, gone)
	o.Upstreams.Update(entries, nil)
}

func TestOrdererFollowsDemandAndDuty(t *testing.T) {
	is := is.New(t)
	o, p, h, clock := newOrderer()
	is.Equal(len(reconcileFor(o, p, clock, 3)), 0) // no steps are requested
	o.Demand.RecordStep("m", Origin{}, 64, clock.Now())
	first := reconcileFor(o, p, clock, 3)
	is.Equal(first, []Order{
		{Service: "s", Domain: "a", Count: 5, Reclaimable: true},
		{Service: "s", Domain: "b", Count: 5, Reclaimable: true},
	})
	setEngines(o, map[string]int{"a": 5, "b": 5})
	is.Equal(len(reconcileFor(o, p, clock, 20)), 0) // the engines have appeared
	h.fence = 0
	is.Equal(len(reconcileFor(o, p, clock, 5)), 0)
	h.fence = 8
	is.Equal(len(reconcileFor(o, p, clock, 2)), 2) // a new holder orders each domain once
	clock.Advance(2 * time.Minute)
	is.Equal(reconcileFor(o, p, clock, 1)[0].Count, 0) // no trainer requests steps any more
}

// Guards against orders each second to a failure domain without capacity, and against a
// reclaim that the other domains don't make up for.
func TestOrdererReplacesReclaimedEngines(t *testing.T) {
	is := is.New(t)
	o, p, _, clock := newOrderer()
	o.Demand.RecordStep("m", Origin{}, 64, clock.Now())
	reconcileFor(o, p, clock, 1)
	setEngines(o, map[string]int{"a": 5, "b": 5})
	reconcileFor(o, p, clock, 2)
	p.err["a"] = ErrNoCapacity
	setEngines(o, map[string]int{"b": 5})
	orders := reconcileFor(o, p, clock, 5)
	is.Equal(orders, []Order{
		{Service: "s", Domain: "a", Count: 5, Reclaimable: true},
		{Service: "s", Domain: "b", Count: 10, Reclaimable: true},
	})
	delete(p.err, "a")
	is.True(len(reconcileFor(o, p, clock, 10)) > 0) // ordered again after the backoff
}

// Guards against lost orders: an order without an answer is sent again, whether it was
// accepted or not.
func TestOrdererRetriesUnconfirmedOrders(t *testing.T) {
	is := is.New(t)
	o, p, _, clock := newOrderer()
	o.Demand.RecordStep("m", Origin{}, 8, clock.Now())
	p.err["a"] = errors.New("lost")
	is.Equal(len(reconcileFor(o, p, clock, 1)), 2)
	is.Equal(len(reconcileFor(o, p, clock, 1)), 1)
	delete(p.err, "a")
	reconcileFor(o, p, clock, 1)
	is.Equal(len(reconcileFor(o, p, clock, 5)), 0)
	is.Equal(len(reconcileFor(o, p, clock, 8)), 2) // no engine has appeared
}

// Guards against engines that are given back while they boot and then ordered again.
func TestOrdererCountsBootingEngines(t *testing.T) {
	is := is.New(t)
	o, p, _, clock := newOrderer()
	o.Demand.RecordStep("m", Origin{}, 64, clock.Now())
	p.err["a"] = ErrNoCapacity
	is.Equal(reconcileFor(o, p, clock, 2), []Order{
		{Service: "s", Domain: "a", Count: 5, Reclaimable: true},
		{Service: "s", Domain: "b", Count: 5, Reclaimable: true},
		{Service: "s", Domain: "b", Count: 10, Reclaimable: true},
	})
	delete(p.err, "a")
	for _, order := range reconcileFor(o, p, clock, 9) {
		is.True(order.Domain != "b" || order.Count == 10)
	}
}

// Guards against an order to an evacuated failure domain, and against engines that are lost with
// it and that the other domains don't make up for within their maximum.
func TestOrdererLeavesEvacuatedDomainOut(t *testing.T) {
	is := is.New(t)
	o, p, _, clock := newOrderer()
	o.Demand.RecordStep("m", Origin{}, 64, clock.Now())
	reconcileFor(o, p, clock, 1)
	setEngines(o, map[string]int{"a": 5, "b": 5})
	o.Upstreams.SetEvacuated(map[string]bool{"a": true})
	is.Equal(reconcileFor(o, p, clock, 5), []Order{{Service: "s", Domain: "b", Count: 10, Reclaimable: true}})
	o.Upstreams.SetEvacuated(map[string]bool{"a": true, "b": true})
	is.Equal(len(reconcileFor(o, p, clock, 20)), 0)
}

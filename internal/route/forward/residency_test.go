package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/organisation"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// regionSender checks for each attempt that the configuration in force allows the region of the
// upstream, and changes the configuration during the attempt.
type regionSender struct {
	sender
	config *catalog.Holder
	// next are the configurations that come into force one after the other.
	next   []*catalog.Configuration
	strays []string
}

// Send implements Sender.
func (s *regionSender) Send(ctx context.Context, u *catalog.Upstream, req Request, left time.Duration) (*Answer, error) {
	cfg := s.config.Current()
	allowed := cfg.Routes[0].Regions.Intersect(cfg.Organisations.Regions("o"))
	if !allowed.Allows(u.Listed().Region) {
		s.strays = append(s.strays, fmt.Sprintf("%s in %s, allowed %s", u.ID, u.Listed().Region, allowed))
	}
	if len(s.next) > 0 {
		s.config.Update(s.next[0])
		s.next = s.next[1:]
	}
	return s.sender.Send(ctx, u, req, left)
}

// regionLists are the lists of allowed regions that a configuration may have.
var regionLists = [][]string{nil, nil, {}, {"north"}, {"south"}, {"north", "south"}, {"unknown"}}

func drawRegions(t *rapid.T, label string) residency.Regions {
	return residency.FromList(rapid.SampledFrom(regionLists).Draw(t, label))
}

// configurationFor returns a configuration whose only route and only organisation have the given
// regions.
func configurationFor(version uint64, ofRoute, ofOrganisation residency.Regions) *catalog.Configuration {
	r := patient(catalog.Idempotent)
	r.Host, r.Prefix, r.Regions, r.Attempts = "h", "/", ofRoute, 3
	return catalog.Configuration{
		Version:       version,
		Routes:        []catalog.Route{r},
		Organisations: organisation.NewDirectory([]organisation.Organisation{{Name: "o", Regions: ofOrganisation}}),
	}.WithIndex()
}

// checkRequestsStayInRegions sends requests to upstreams in several regions while the
// configuration changes.
func checkRequestsStayInRegions(enforced bool) func(*rapid.T) {
	return func(t *rapid.T) {
		s := &regionSender{
			sender: sender{behaviours: rapid.SliceOfN(rapid.SampledFrom([]behaviour{answers, fails, unsent, misdirects, cuts}), 1, 4).Draw(t, "behaviours")},
			config: &catalog.Holder{},
		}
		f, stop := newForwarder(&s.sender, 0)
		stop() // no second attempt runs beside the first, which changes the configuration
		f.Sender = s
		var entries []catalog.Entry
		for i := range rapid.IntRange(1, 6).Draw(t, "upstreams") {
			entries = append(entries, catalog.Entry{
				ID:      fmt.Sprint("u", i),
				Service: "s",
				Address: fmt.Sprint("a", i),
				Slots:   4,
				Region:  rapid.SampledFrom([]string{"north", "south", ""}).Draw(t, "region"),
			})
		}
		f.Upstreams.Update(entries, nil)
		for v := range rapid.IntRange(1, 4).Draw(t, "configurations") {
			s.next = append(s.next, configurationFor(uint64(v+1), drawRegions(t, "route"), drawRegions(t, "organisation")))
		}
		s.config.Update(s.next[0])
		s.next = s.next[1:]
		if enforced {
			f.Config = s.config
		}
		if rapid.Bool().Draw(t, "gated") {
			addGates(f)
		}
		req := Request{ID: "x", Host: "h:80", Target: "/?q", Route: s.config.Current().Routes[0]}
		if rapid.Bool().Draw(t, "reward call") {
			req.RegionOrganisation = "o"
		} else {
			req.Organisation = "o"
		}
		before := s.config.Current()
		_, err := f.Do(context.Background(), req)
		if len(s.strays) > 0 {
			t.Fatalf("sent to %v", s.strays)
		}
		allowed := before.Routes[0].Regions.Intersect(before.Organisations.Regions("o"))
		if allowed.Empty() != problem.Is(err, problem.RegionsEmpty) && s.sent == 0 {
			t.Fatalf("allowed %s, but the error is %v", allowed, err)
		}
		if s.sent == 0 && problem.From(err).RetryAfter == 0 {
			t.Fatalf("refused without a time to return: %v", err)
		}
	}
}

// Guards against a request, or its second attempt, that reaches an upstream in a region that its
// route or its organisation does not allow, also if the configuration changes meanwhile.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	property.CheckN(t, 400, checkRequestsStayInRegions(true))
}

// Without the configuration in force, requests reach upstreams in other regions.
func TestRequestsLeaveRegionsWithoutConfiguration(t *testing.T) {
	property.CheckFails(t, checkRequestsStayInRegions(false))
}

// Guards against a queued request that waits for the upstreams of a region that is no longer
// allowed, while those that are allowed now have room.
func TestQueuedRequestChoosesAgainInItsRegions(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{hangs, answers}}
	f, stop := newForwarder(s, 0)
	defer stop()
	addGates(f)
	f.Upstreams.Update([]catalog.Entry{
		{ID: "n", Service: "s", Address: "n", Slots: 1, Region: "north"},
		{ID: "s", Service: "s", Address: "s", Slots: 1, Region: "south"},
	}, nil)
	f.Config = &catalog.Holder{}
	f.Config.Update(configurationFor(1, residency.FromList([]string{"north"}), residency.Regions{}))
	request := func(id string) Request {
		return Request{ID: id, Host: "h", Target: "/", Route: f.Config.Current().Routes[0]}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = f.Do(ctx, request("first")) })
	gate := f.Admission.Service("s in north", f.Upstreams.Group("s").In(residency.FromList([]string{"north"})).Set)
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool { return gate.InFlight(admission.Interactive) == 1 && s.counted().sent == 1 }))
	wg.Go(func() {
		answer, err := f.Do(ctx, request("queued"))
		is.NoErr(err)
		is.Equal(answer.Upstream, "s")
	})
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool { return gate.Waiting(admission.Interactive) == 1 }))
	f.Config.Update(configurationFor(2, residency.FromList([]string{"south"}), residency.Regions{}))
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool { return s.counted().sent == 2 }))
	cancel()
	wg.Wait()
}

// Guards against a queued request that is refused for lack of upstreams when another failure
// domain is evacuated, while those in its regions serve.
func TestQueuedRequestStaysInItsRegionsDuringEvacuation(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{hangs, answers}}
	f, stop := newForwarder(s, 0)
	defer stop()
	addGates(f)
	f.Upstreams.Update([]catalog.Entry{
		{ID: "n", Service: "s", Address: "n", Slots: 1, Region: "north", FailureDomain: "a"},
		{ID: "s", Service: "s", Address: "s", Slots: 1, Region: "south", FailureDomain: "b"},
	}, nil)
	north := residency.FromList([]string{"north"})
	f.Config = &catalog.Holder{}
	f.Config.Update(configurationFor(1, north, residency.Regions{}))
	request := Request{ID: "x", Host: "h", Target: "/", Route: f.Config.Current().Routes[0]}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _, _ = f.Do(ctx, request) })
	gate := f.Admission.Service("s in north", f.Upstreams.Group("s").In(north).Set)
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool { return s.counted().sent == 1 }))
	ended := make(chan error, 1)
	wg.Go(func() {
		_, err := f.Do(ctx, request)
		ended <- err
	})
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool { return gate.Waiting(admission.Interactive) == 1 }))
	f.Upstreams.SetEvacuated(map[string]bool{"b": true})
	f.UpstreamsChanged()
	gate.Release(admission.Interactive, admission.Ended, admission.Timing{}, nil)
	is.NoErr(<-ended)
}

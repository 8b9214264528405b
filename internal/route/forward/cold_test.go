package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/slowstart"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// newColdForwarder returns a forwarder whose upstreams are cold for an hour. Their service
// takes 4 requests per second from each.
func newColdForwarder(s *sender, n int) (*Forwarder, func()) {
	f, stop := newForwarder(s, n)
	services := map[string]catalog.Service{"s": {Name: "s", ColdStart: time.Hour, ColdRate: 4}}
	f.SlowStart = &slowstart.Limiter{Config: &catalog.Holder{}, Timer: f.Timer, Overage: 1.5, Slack: 5}
	f.SlowStart.Config.Update(catalog.Configuration{Version: 1, Services: services}.WithIndex())
	f.Upstreams.SetServices(services)
	now := f.Timer.Now()
	for _, u := range f.Upstreams.Group("s").Upstreams {
		u.RecordColdness(time.Hour, now, now)
	}
	return f, stop
}

// Guards against a withdrawn attempt that is reported as one that may have run, that prevents
// another attempt at a request that may run once, or that counts against its upstream.
func TestWithdrawnRequestIsSentElsewhere(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{withdraws, answers}}
	f, stop := newForwarder(s, 2)
	defer stop()
	answer, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.NonIdempotent)})
	is.NoErr(err)
	is.True(s.ids[0] != s.ids[1])
	is.Equal(answer.Attempts, 2)
	s.behaviours = []behaviour{withdraws}
	for range 2 {
		_, err = f.Do(context.Background(), Request{ID: "y", Route: patient(catalog.NonIdempotent)})
		is.Equal(problem.From(err).Kind.Outcome, problem.NotRun)
	}
	for _, u := range f.Upstreams.Group("s").Upstreams {
		is.True(u.Usable(f.Timer.Now()))
		is.Equal(u.InFlight(), int64(0))
	}
}

// lateSender is a Sender whose upstream becomes cold before the request is written.
type lateSender struct{ address string }

// Send implements Sender.
func (s lateSender) Send(ctx context.Context, u *catalog.Upstream, _ Request, _ time.Duration) (*Answer, error) {
	u.RecordColdness(time.Hour, 0, 1<<40)
	u.DenyShare()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.address, nil)
	if err != nil {
		return nil, err
	}
	var c wire.Client
	defer c.CloseIdle()
	res, _, err := c.Do(req, wire.Pooled)
	if err != nil {
		return nil, err
	}
	return &Answer{Status: res.StatusCode}, res.Body.Close()
}

// Guards against attempts whose permit is not checked when the request is written.
func TestAttemptIsCheckedBeforeTheWrite(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	f, stop := newColdForwarder(&sender{}, 1)
	defer stop()
	f.Upstreams.Group("s").Upstreams[0].EndColdness()
	f.Sender = lateSender{server.URL}
	_, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.Idempotent)})
	is.Equal(problem.From(err).Kind.Outcome, problem.NotRun)
	is.True(problem.From(err).RetryAfter > 0)
	is.Equal(received.Load(), int32(0))
}

// Guards against requests that wait in vain for cold upstreams, or that are refused without the
// time at which one may be taken.
func TestRequestIsRefusedIfAllUpstreamsAreHeld(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{answers}}
	f, stop := newColdForwarder(s, 2)
	defer stop()
	addGates(f)
	f.Upstreams.Group("s").Upstreams[1].DenyShare()
	f.Upstreams.Group("s").Upstreams[0].DenyShare()
	_, err := f.Do(context.Background(), Request{ID: "x", Route: route(catalog.Idempotent)})
	is.True(problem.Is(err, problem.NoUpstream))
	after := problem.From(err).RetryAfter
	is.True(after > 30*time.Minute && after <= time.Hour)
	is.Equal(s.sent, 0)
	is.True(leavesGate(f))
}

// Guards against refusing requests that can still be served in time by an upstream that is cold,
// and against sending them faster than its permits come.
func TestRequestWaitsForPermit(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{answers}}
	f, stop := newColdForwarder(s, 1)
	defer stop()
	f.Upstreams.Group("s").Upstreams[0].GrantShare(0, f.Timer.Now())
	started := f.Timer.Now()
	for range 3 {
		_, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.Idempotent)})
		is.NoErr(err)
	}
	is.True(f.Timer.Now().Sub(started) >= 1500*time.Millisecond)
}

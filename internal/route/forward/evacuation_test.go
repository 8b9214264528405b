package forward

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// evacuatingSender is a Sender that evacuates the domain of the first attempt's upstream. It
// counts the attempts at evacuated upstreams that the evacuation did not stop.
type evacuatingSender struct {
	upstreams *catalog.Upstreams
	// first ends the first attempt, whose upstream u is evacuated by then.
	first func(ctx context.Context, u *catalog.Upstream) (*Answer, error)

	began atomic.Bool
	sent  atomic.Int32
	late  atomic.Int32
}

// Send implements Sender.
func (s *evacuatingSender) Send(ctx context.Context, u *catalog.Upstream, _ Request, _ time.Duration) (*Answer, error) {
	s.sent.Add(1)
	late := u.Evacuated()
	if !s.began.Swap(true) {
		s.upstreams.SetEvacuated(map[string]bool{u.FailureDomain: true})
		return s.first(ctx, u)
	}
	if late {
		s.late.Add(1)
	}
	return &Answer{Status: http.StatusOK}, nil
}

// evacuatingForwarder returns a forwarder with three upstreams in each of two domains.
func evacuatingForwarder(s *evacuatingSender) (*Forwarder, func()) {
	f, stop := newForwarder(&sender{behaviours: []behaviour{answers}}, 0)
	var list []catalog.Entry
	for _, id := range []string{"a0", "a1", "a2", "b0", "b1", "b2"} {
		list = append(list, catalog.Entry{ID: id, Service: "s", Address: id, Slots: 4, FailureDomain: id[:1]})
	}
	f.Upstreams.Update(list, nil)
	s.upstreams = f.Upstreams
	f.Sender = s
	return f, stop
}

// Guards against a retry, a hedge, and a reward call after a failed one, that are sent to the
// domain that was evacuated during the first attempt.
func TestLaterAttemptsAvoidEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	for name, first := range map[string]func(context.Context, *catalog.Upstream) (*Answer, error){
		"retry": func(context.Context, *catalog.Upstream) (*Answer, error) {
			return nil, engine.ErrIncompleteResponse
		},
		"hedge": func(ctx context.Context, _ *catalog.Upstream) (*Answer, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	} {
		for range 10 {
			for _, class := range []admission.Class{admission.Interactive, admission.Reward} {
				s := &evacuatingSender{first: first}
				f, stop := evacuatingForwarder(s)
				addGates(f)
				_, err := f.Do(context.Background(), Request{ID: name, Route: route(catalog.Idempotent), Class: class})
				stop()
				is.NoErr(err)
				is.Equal(s.sent.Load(), int32(2))
				is.Equal(s.late.Load(), int32(0))
			}
		}
	}
}

// Guards against the bytes of a request that waits for its connection while its domain is
// evacuated: nothing may be written, and it is sent elsewhere although it may not be repeated.
func TestRequestWaitingForConnectionIsWithdrawn(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	var client wire.Client
	defer client.CloseIdle()
	s := &evacuatingSender{
		first: func(ctx context.Context, _ *catalog.Upstream) (*Answer, error) {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, nil)
			is.NoErr(err)
			_, sent, err := client.Do(req, wire.Fresh)
			is.True(!sent)
			is.True(errors.Is(err, engine.ErrWithdrawn))
			return nil, err
		},
	}
	f, stop := evacuatingForwarder(s)
	defer stop()
	answer, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.NonIdempotent)})
	is.NoErr(err)
	is.Equal(answer.Attempts, 2)
	is.Equal(received.Load(), int32(0))
}

// fillGate admits requests until the next one has to wait.
func fillGate(f *Forwarder) error {
	for range 24 {
		if err := f.testGate().Acquire(context.Background(), admission.Request{}); err != nil {
			return err
		}
	}
	return nil
}

// eventually reports whether a condition holds within some seconds.
func eventually(holds func() bool) bool {
	return timer.Poll(timer.Real{}, time.Millisecond, 10*time.Second, nil, holds)
}

// waitingAt reports whether n interactive requests wait at the gate.
func waitingAt(f *Forwarder, n int) func() bool {
	return func() bool { return f.testGate().Waiting(admission.Interactive) == n }
}

// Guards against requests without any upstream left that are held until their deadline, or that
// may have run by what their caller is told: those that arrive, and those that wait at the gate.
func TestNowhereToGo(t *testing.T) {
	is := is.New(t)
	s := &evacuatingSender{}
	f, stop := evacuatingForwarder(s)
	defer stop()
	addGates(f)
	is.NoErr(fillGate(f))
	ended := make(chan error)
	do := func() {
		_, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.NonIdempotent)})
		ended <- err
	}
	go do()
	is.True(eventually(waitingAt(f, 1)))
	f.Upstreams.SetEvacuated(map[string]bool{"a": true, "b": true})
	f.UpstreamsChanged()
	go do()
	for range 2 {
		err := <-ended
		is.True(problem.Is(err, problem.NoUpstream))
		is.Equal(problem.From(err).Kind.Outcome, problem.NotRun)
		is.True(problem.From(err).RetryAfter > 0)
	}
	is.Equal(s.sent.Load(), int32(0))
}

// Guards against refusing the requests that wait for upstreams in their allowed regions when
// another failure domain is evacuated, and against holding them when no upstream is left there.
func TestEvacuationAndGateOfRegions(t *testing.T) {
	is := is.New(t)
	f, stop := evacuatingForwarder(&evacuatingSender{})
	defer stop()
	var list []catalog.Entry
	for _, id := range []string{"a0", "b0"} {
		list = append(list, catalog.Entry{ID: id, Service: "s", Address: id, Slots: 4, FailureDomain: id[:1], Region: id[:1]})
	}
	f.Upstreams.Update(list, []string{"a1", "a2", "b1", "b2"})
	addGates(f)
	regions := residency.FromList([]string{"a"})
	gate := f.gateOf(&dispatch{f: f, service: "s", regions: regions, group: f.Upstreams.Group("s").In(regions)})
	for range 4 {
		is.NoErr(gate.Acquire(context.Background(), admission.Request{}))
	}
	ended := make(chan error, 1)
	go func() { ended <- gate.Acquire(context.Background(), admission.Request{}) }()
	is.True(eventually(func() bool { return gate.Waiting(admission.Interactive) == 1 }))
	f.Upstreams.SetEvacuated(map[string]bool{"b": true})
	f.UpstreamsChanged()
	is.Equal(gate.Waiting(admission.Interactive), 1)
	f.Upstreams.SetEvacuated(map[string]bool{"a": true})
	f.UpstreamsChanged()
	is.True(<-ended != nil)
}

// Guards against a refusal that tells its caller to return at once although the evacuation of all
// upstreams lasts longer.
func TestRefusalDuringEvacuationStatesLaterTime(t *testing.T) {
	is := is.New(t)
	s := &evacuatingSender{}
	f, stop := evacuatingForwarder(s)
	defer stop()
	f.Upstreams.SetEvacuated(map[string]bool{"a": true, "b": true})
	_, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.NonIdempotent)})
	is.True(problem.Is(err, problem.NoUpstream))
	is.Equal(problem.From(err).RetryAfter, retryAfterEvacuated)
}

// Guards against a queued request that is sent to the upstream that it would have had when it
// was queued.
func TestQueuedRequestChoosesAgain(t *testing.T) {
	is := is.New(t)
	s := &evacuatingSender{}
	s.began.Store(true)
	f, stop := evacuatingForwarder(s)
	defer stop()
	addGates(f)
	is.NoErr(fillGate(f))
	ended := make(chan error)
	for range 8 {
		go func() {
			_, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.NonIdempotent)})
			ended <- err
		}()
	}
	is.True(eventually(waitingAt(f, 8)))
	gate := f.testGate()
	f.Upstreams.SetEvacuated(map[string]bool{"a": true})
	f.UpstreamsChanged()
	for range 24 {
		gate.Release(admission.Interactive, admission.Ended, admission.Timing{}, nil)
	}
	for range 8 {
		is.NoErr(<-ended)
	}
	is.Equal(s.sent.Load(), int32(8))
	is.Equal(s.late.Load(), int32(0))
}

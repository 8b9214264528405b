package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
)

// addGates gives a forwarder the gates that an instance has.
func addGates(f *Forwarder) { f.Admission = &admission.Gates{Timer: f.Timer} }

// testGate returns the gate of the service of newForwarder.
func (f *Forwarder) testGate() *admission.Service {
	return f.Admission.Service("s", f.Upstreams.Group("s").Set)
}

// patient returns a route that neither hedges nor times out while a test runs.
func patient(kind catalog.Kind) catalog.Route {
	r := route(kind)
	r.Timeout, r.Objective = time.Hour, time.Hour
	return r
}

// leavesGate reports whether no attempt is counted as in flight, at the latest once attempts
// that were cancelled have ended.
func leavesGate(f *Forwarder) bool {
	g := f.testGate()
	return timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool {
		return g.InFlight(admission.Interactive)+g.InFlight(admission.Reward) == 0
	})
}

// Guards against a request that is sent again at once, and again and again, to upstreams that
// refuse it because they are full.
func TestRefusedRequestPausesAndGivesUp(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{refuses}}
	f, stop := newForwarder(s, 6)
	defer stop()
	addGates(f)
	started := f.Timer.Now()
	_, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.Idempotent)})
	is.True(problem.Is(err, problem.UpstreamRefused))
	is.Equal(problem.From(err).Kind.Outcome, problem.NotRun)
	is.True(problem.From(err).RetryAfter > 0)
	is.Equal(s.counted().sent, admission.MaxRefusedSends)
	is.True(f.Timer.Now().Sub(started) >= 30*time.Millisecond) // pauses of at least 10 and 20 ms
	is.True(leavesGate(f))
}

// Guards against sends after refusals that go on without a limit when a service stays full: the
// retry budget of the service ends them.
func TestRetryBudgetEndsSendsAfterRefusals(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{refuses}}
	f, stop := newForwarder(s, 6)
	defer stop()
	addGates(f)
	for range 20 {
		_, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.Idempotent)})
		is.True(problem.Is(err, problem.UpstreamRefused))
	}
	is.Equal(s.counted().sent, 20+10) // each request once, and the reserve of the budget
}

// Guards against a refused request whose pause or wait exceeds the time that its caller has.
func TestRefusedRequestIsNotHeldPastItsDeadline(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{refuses}}
	f, stop := newForwarder(s, 6)
	stop()
	addGates(f)
	r := patient(catalog.Idempotent)
	r.Timeout = 25 * time.Millisecond
	_, err := f.Do(context.Background(), Request{ID: "x", Route: r})
	is.Equal(problem.From(err).Kind.Outcome, problem.NotRun)
	is.Equal(s.counted().sent, 1)
}

// Guards against a refused reward call that is sent again without passing the gate, or whose
// wait counts towards the time limit of its route.
func TestRefusedRewardCallReturnsToItsCaller(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{refuses, answers}}
	f, stop := newForwarder(s, 6)
	defer stop()
	addGates(f)
	req := Request{ID: "x", Route: patient(catalog.Idempotent), Class: admission.Reward}
	req.Route.Timeout = 5 * time.Second
	_, err := f.Do(context.Background(), req)
	var refused *engine.RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(s.counted().sent, 1)

	g := f.testGate()
	for range 6 { // half of the starting window of 12
		is.NoErr(g.Acquire(context.Background(), admission.Request{Class: admission.Reward}))
	}
	done := make(chan error, 1)
	go func() {
		_, err := f.Do(context.Background(), req)
		done <- err
	}()
	timer.Wait(f.Timer, 10*time.Second, nil)
	is.Equal(s.counted().sent, 1) // it waits
	for range 6 {
		g.Release(admission.Reward, admission.Ended, admission.Timing{}, nil)
	}
	is.NoErr(<-done)
	is.Equal(s.counted().sent, 2)
	is.True(leavesGate(f))
}

// Guards against a request that is held or sent although it can't be answered in time, and
// against a refusal that can't be traced to its cause.
func TestRequestWithoutTimeIsRefusedAndLogged(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{answers}}
	f, stop := newForwarder(s, 1)
	defer stop()
	addGates(f)
	var lines bytes.Buffer
	var err error
	f.Journal, err = journal.Open(&lines, "info", "i")
	is.NoErr(err)
	g := f.testGate()
	for range 4 {
		is.NoErr(g.Acquire(context.Background(), admission.Request{}))
	}
	g.Release(admission.Interactive, admission.Answered, admission.Timing{Answer: time.Second, Occupied: time.Second}, nil)
	for range 2 { // the window has grown by one
		is.NoErr(g.Acquire(context.Background(), admission.Request{}))
	}
	_, err = f.Do(context.Background(), Request{ID: "x", Organisation: "saddlers", Route: route(catalog.Idempotent)})
	e := problem.From(err)
	is.True(problem.Is(err, problem.Overloaded))
	is.Equal(e.Kind.Status, http.StatusTooManyRequests)
	is.Equal(e.Kind.Outcome, problem.NotRun)
	is.True(e.RetryAfter > 0)
	is.Equal(s.counted().sent, 0)
	is.NoErr(f.Journal.Flush())
	for _, field := range []string{
		"decision=refuse", "request_id=x", "service=s", "organisation=saddlers", "class=interactive", "reason=deadline",
		"waiting=0", "window=5", "expected_wait_ms=200", "retry_after_ms=",
	} {
		if !strings.Contains(lines.String(), field) {
			t.Errorf("%s is missing in %s", field, lines.String())
		}
	}
}

// Guards against hedging at a service that has just refused a request.
func TestNoHedgeAfterRefusal(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{refuses, hangs}}
	f, stop := newForwarder(s, 3)
	defer stop()
	addGates(f)
	_, err := f.Do(context.Background(), Request{ID: "x", Route: route(catalog.Idempotent)})
	is.True(problem.Is(err, problem.UpstreamTimeout))
	is.True(s.counted().sent <= 2)
	is.True(leavesGate(f))
}

// streamer is a Sender whose answers stream.
type streamer struct{}

// Send implements Sender.
func (streamer) Send(context.Context, *catalog.Upstream, Request, time.Duration) (*Answer, error) {
	return &Answer{Status: http.StatusOK, Stream: io.NopCloser(strings.NewReader("id: 1"))}, nil
}

// Guards against streams that occupy an upstream without being counted, or that are counted for
// good after they were closed.
func TestStreamOccupiesTheGateUntilItEnds(t *testing.T) {
	is := is.New(t)
	f, stop := newForwarder(&sender{}, 1)
	defer stop()
	addGates(f)
	f.Sender = streamer{}
	for _, end := range []func(io.ReadCloser){
		func(r io.ReadCloser) { _ = r.Close() },
		func(r io.ReadCloser) {
			_, err := io.ReadAll(r)
			is.NoErr(err)
			_ = r.Close()
		},
	} {
		answer, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.Streaming)})
		is.NoErr(err)
		is.Equal(f.testGate().InFlight(admission.Interactive), 1)
		end(answer.Stream)
		is.Equal(f.testGate().InFlight(admission.Interactive), 0)
	}
}

// changingDetector implements PoisonDetector with a verdict that changes.
type changingDetector struct {
	verdict atomic.Pointer[poison.Verdict]
}

// Judge implements PoisonDetector.
func (d *changingDetector) Judge(func() fingerprint.Digest) poison.Verdict {
	if v := d.verdict.Load(); v != nil {
		return *v
	}
	return poison.Verdict{}
}

// RecordAnswer implements PoisonDetector.
func (d *changingDetector) RecordAnswer(func() fingerprint.Digest) {}

// waitAtGate starts a request that waits at the gate, calls change, lets it pass and returns its answer.
func waitAtGate(t *testing.T, f *Forwarder, class admission.Class, change func()) (*Answer, error) {
	t.Helper()
	is := is.New(t)
	g := f.testGate()
	const window = 200 // above any starting window
	for range window {
		g.Enter(class)
	}
	type result struct {
		answer *Answer
		err    error
	}
	done := make(chan result, 1)
	go func() {
		answer, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.Idempotent), Class: class})
		done <- result{answer, err}
	}()
	timer.Wait(f.Timer, 10*time.Second, nil) // it waits
	is.Equal(g.Waiting(class), 1)
	change()
	for range window {
		g.Release(class, admission.Answered, admission.Timing{}, nil)
	}
	r := <-done
	return r.answer, r.err
}

// Guards against a request that is sent after its wait although it was quarantined meanwhile.
func TestWaitingRequestIsJudgedAgain(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{answers}}
	f, stop := newForwarder(s, 6)
	defer stop()
	addGates(f)
	d := &changingDetector{}
	f.PoisonDetector = d
	_, err := waitAtGate(t, f, admission.Interactive, func() { d.verdict.Store(&poison.Verdict{Crashes: 4, RetryAfter: time.Minute}) })
	is.True(problem.Is(err, problem.Quarantined))
	is.Equal(problem.From(err).Kind.Outcome, problem.NotRun)
	is.Equal(problem.From(err).RetryAfter, time.Minute)
	is.Equal(s.counted().sent, 0)
	is.True(leavesGate(f))
}

// Guards against a reward call that is never answered, since upstreams crashed while they ran it.
func TestWaitingRewardCallIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	f, stop := newForwarder(&sender{behaviours: []behaviour{cuts, answers}}, 6)
	defer stop()
	addGates(f)
	d := &changingDetector{}
	f.PoisonDetector = d
	_, err := waitAtGate(t, f, admission.Reward, func() { d.verdict.Store(&poison.Verdict{Crashes: 4, RetryAfter: time.Minute}) })
	is.NoErr(err)
	is.True(leavesGate(f))
}

// Guards against a request that is sent to the upstreams of before its wait, which have left.
func TestWaitingRequestUsesCurrentUpstreams(t *testing.T) {
	is := is.New(t)
	f, stop := newForwarder(&sender{behaviours: []behaviour{answers}}, 6)
	defer stop()
	addGates(f)
	answer, err := waitAtGate(t, f, admission.Reward, func() {
		f.Upstreams.Update([]catalog.Entry{{ID: "new", Service: "s", Address: "new", Slots: 24}}, []string{"u0", "u1", "u2", "u3", "u4", "u5"})
	})
	is.NoErr(err)
	is.Equal(answer.Upstream, "new")
}

// Guards against a suspected request that returns at once, because the time of a refusal by an
// upstream replaced that of its verdict.
func TestQuarantineTellsWhenToReturn(t *testing.T) {
	is := is.New(t)
	is.Equal(retryAfter(problem.Quarantined.Withf("x").WithRetryAfter(4*time.Second)), 4*time.Second)
	is.Equal(retryAfter(nil), retryAfterRefused)
}

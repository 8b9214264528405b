package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// behaviour is what a test upstream does with an attempt.
type behaviour string

const (
	answers    behaviour = "answers"
	fails      behaviour = "fails"
	refuses    behaviour = "refuses"
	unsent     behaviour = "unsent"
	breaks     behaviour = "breaks"
	misdirects behaviour = "misdirected"
	hangs      behaviour = "hangs"
	cuts       behaviour = "cuts"
	withdraws  behaviour = "withdraws"
)

// ran reports whether an upstream with this behaviour runs the request.
func (b behaviour) ran() bool {
	return b == answers || b == fails || b == breaks || b == cuts || b == hangs
}

// sender is a Sender whose attempts behave as listed, in order, the last one for all
// further attempts. It counts attempts and runs.
type sender struct {
	mu         sync.Mutex
	behaviours []behaviour
	sent       int
	runs       int
	ids        []string
}

// Send implements Sender.
func (s *sender) Send(ctx context.Context, u *catalog.Upstream, _ Request, _ time.Duration) (*Answer, error) {
	s.mu.Lock()
	f := s.behaviours[min(s.sent, len(s.behaviours)-1)]
	s.sent++
	s.ids = append(s.ids, u.ID)
	if f.ran() {
		s.runs++
	}
	s.mu.Unlock()
	switch f {
	case answers:
		return &Answer{Status: http.StatusOK}, nil
	case fails:
		return &Answer{Status: http.StatusInternalServerError}, nil
	case refuses:
		return nil, &engine.RefusedError{}
	case unsent:
		return nil, engine.ErrNotSent
	case misdirects:
		return nil, engine.ErrMisdirected
	case withdraws:
		return nil, engine.ErrWithdrawn
	case cuts:
		return nil, engine.ErrConnectionLost
	case hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, engine.ErrIncompleteResponse
}

// newForwarder returns a forwarder with n upstreams on a manual clock that is advanced
// in the background until the returned function is called.
func newForwarder(s *sender, n int) (*Forwarder, func()) {
	clock := &timer.Manual{}
	upstreams := &catalog.Upstreams{
		Timer: clock,
	}
	var list []catalog.Entry
	for i := range n {
		list = append(list, catalog.Entry{
			ID:      fmt.Sprint("u", i),
			Service: "s",
			Address: fmt.Sprint("a", i),
			Slots:   4,
		})
	}
	upstreams.Update(list, nil)
	return &Forwarder{
		Upstreams: upstreams,
		Sender:    s,
		Timer:     clock,
	}, clock.Run(10*time.Millisecond, 200*time.Microsecond)
}

// route returns a route of a kind with an objective, a timeout and two attempts.
func route(kind catalog.Kind) catalog.Route {
	return catalog.Route{
		Name:      "r",
		Kind:      kind,
		Split:     []catalog.WeightedService{{Service: "s", Weight: 1}},
		Timeout:   800 * time.Millisecond,
		Objective: 150 * time.Millisecond,
		Attempts:  2,
	}
}

// checkReportedOutcome sends a request to upstreams that refuse, break, hang and fail at
// random. It checks that the caller is told "not run" only if no upstream ran the
// request, and that a request that may not be repeated runs at most once.
// With gated set, the request passes an admission gate, which must be empty in the end.
func checkReportedOutcome(kind catalog.Kind, gated bool) func(*rapid.T) {
	return func(t *rapid.T) {
		s := &sender{
			behaviours: rapid.SliceOfN(rapid.SampledFrom([]behaviour{answers, fails, refuses, unsent, breaks, misdirects, hangs, withdraws}), 1, 6).Draw(t, "behaviours"),
		}
		f, stop := newForwarder(s, rapid.IntRange(1, 4).Draw(t, "upstreams"))
		defer stop()
		if gated {
			addGates(f)
		}
		answer, err := f.Do(context.Background(), Request{
			ID:    "x",
			Route: route(kind),
		})
		if gated && !leavesGate(f) {
			t.Fatalf("an attempt is still counted as in flight: %v", s.behaviours)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil && problem.From(err).Kind.Outcome == problem.NotRun && s.runs > 0 {
			t.Fatalf("reported as not run, but it ran %d times: %v", s.runs, s.behaviours)
		}
		if kind == catalog.NonIdempotent && s.runs > 1 {
			t.Fatalf("a request that may not be repeated ran %d times: %v", s.runs, s.behaviours)
		}
		if s.runs > 2 {
			t.Fatalf("it ran %d times with 2 attempts: %v", s.runs, s.behaviours)
		}
		if err == nil && answer.Status == http.StatusOK && s.runs == 0 {
			t.Fatalf("the caller got an answer although no upstream ran the request")
		}
	}
}

// Guards against a request that runs twice: because it is reported as "not run" although
// it ran, so that the caller repeats it, or because it is sent to a second upstream after
// the first one broke although it may not be repeated.
func TestReportedOutcomeMatchesRuns(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent} {
		property.CheckN(t, 150, checkReportedOutcome(kind, false))
		property.CheckN(t, 150, checkReportedOutcome(kind, true))
	}
}

// Guards against a request that waits for its timeout at an upstream that stopped
// responding: a second attempt at another upstream must answer it well before the
// timeout, so that the route's objective can still be met.
func TestUnresponsiveUpstreamIsHedged(t *testing.T) {
	is := is.New(t)
	s := &sender{
		behaviours: []behaviour{hangs, answers},
	}
	f, stop := newForwarder(s, 3)
	defer stop()
	started := f.Timer.Now()
	answer, err := f.Do(context.Background(), Request{
		ID:    "x",
		Route: route(catalog.Idempotent),
	})
	is.NoErr(err)
	is.Equal(answer.Attempts, 2)
	is.True(s.ids[0] != s.ids[1])
	is.True(f.Timer.Now().Sub(started) < 400*time.Millisecond)
}

// Guards against a request that is held until its deadline when there are no upstreams:
// the caller must be refused at once, with a retry delay.
func TestRequestWithoutUpstreamIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f, stop := newForwarder(&sender{behaviours: []behaviour{answers}}, 0)
	defer stop()
	started := f.Timer.Now()
	_, err := f.Do(context.Background(), Request{
		ID:    "x",
		Route: route(catalog.Idempotent),
	})
	is.True(problem.Is(err, problem.NoUpstream))
	is.True(problem.From(err).RetryAfter > 0)
	is.True(f.Timer.Now().Sub(started) < 100*time.Millisecond)
}

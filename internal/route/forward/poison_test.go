package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// fakeDetector returns the same verdict on every request and counts the attempts that
// were cut off and the completed requests that are reported to it.
type fakeDetector struct {
	verdict poison.Verdict

	mu      sync.Mutex
	cuts    int
	cleared int
}

// Judge implements PoisonDetector.
func (d *fakeDetector) Judge(func() fingerprint.Digest) poison.Verdict {
	return d.verdict
}

// RecordAnswer implements PoisonDetector.
func (d *fakeDetector) RecordAnswer(func() fingerprint.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cleared++
}

// ReportCutOff implements CrashReporter.
func (d *fakeDetector) ReportCutOff(crash.Cut) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cuts++
}

// counts is how many attempts a sender got and how many of them ran.
type counts struct{ sent, runs int }

// counted returns the counts so far; attempts may still be in flight.
func (s *sender) counted() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return counts{
		sent: s.sent,
		runs: s.runs,
	}
}

// send forwards one repeatable request with up to that many attempts.
func (d *fakeDetector) send(s *sender, attempts int) (*Answer, error) {
	f, stop := newForwarder(s, 6)
	defer stop()
	f.CrashReporter, f.PoisonDetector = d, d
	r := route(catalog.Idempotent)
	r.Attempts = attempts
	return f.Do(context.Background(), Request{
		ID:    "x",
		Route: r,
	})
}

// Guards against a quarantined request that is sent to another upstream or held until its
// deadline.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{answers}}
	c := &fakeDetector{verdict: poison.Verdict{Crashes: 4, RetryAfter: time.Minute}}
	_, err := c.send(s, 2)
	e := problem.From(err)
	is.True(problem.Is(err, problem.Quarantined))
	is.Equal(e.Kind.Outcome, problem.NotRun)
	is.Equal(e.Kind.Status, http.StatusServiceUnavailable)
	is.Equal(e.RetryAfter, time.Minute)
	is.Equal(s.counted().sent, 0)
}

// Guards against a request that crashes as many upstreams as its route allows attempts,
// and against hedging one that is suspected and may go to a single upstream only.
func TestSuspectedRequestIsNotRepeated(t *testing.T) {
	is := is.New(t)
	for before, runs := range map[int]int{0: 3, 1: 2, 2: 1, 3: 1} {
		s := &sender{behaviours: []behaviour{cuts}}
		c := &fakeDetector{verdict: poison.Verdict{Crashes: before}}
		_, err := c.send(s, 6)
		is.True(problem.Is(err, problem.UpstreamFailed))
		is.Equal(s.counted().runs, runs)
		is.Equal(c.cuts, runs)
		is.Equal(c.cleared, 0)
	}
	s := &sender{behaviours: []behaviour{hangs}}
	c := &fakeDetector{verdict: poison.Verdict{Crashes: 3}}
	_, err := c.send(s, 6)
	is.True(problem.Is(err, problem.UpstreamTimeout))
	is.Equal(s.counted().runs, 1)
}

// Guards against a suspected request that is not retried after upstreams refused it or
// could not be reached, although none of them ran it.
func TestSuspectedRequestIsOfferedUntilItRuns(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{refuses, unsent, answers}}
	c := &fakeDetector{verdict: poison.Verdict{Crashes: 3}}
	_, err := c.send(s, 2)
	is.NoErr(err)
	is.Equal(c.cleared, 1)
}

// Guards against requests that stay suspected although an upstream answered them, also
// when an earlier attempt of the same request was cut off.
func TestAnsweredRequestIsCleared(t *testing.T) {
	is := is.New(t)
	for _, behaviours := range [][]behaviour{{cuts, answers}, {cuts, fails}, {answers}} {
		c := &fakeDetector{}
		_, err := c.send(&sender{behaviours: behaviours}, 2)
		is.NoErr(err)
		is.Equal(c.cleared, 1)
	}
}

// Guards against an upstream that crashes in the middle of a stream and is counted as
// having answered the request.
func TestStreamThatIsCutOffIsACrash(t *testing.T) {
	is := is.New(t)
	for err, cuts := range map[error]int{io.EOF: 0, engine.ErrIncompleteResponse: 1} {
		c := &fakeDetector{verdict: poison.Verdict{Crashes: 1}}
		f := &Forwarder{CrashReporter: c, PoisonDetector: c, Timer: &timer.Manual{}}
		w := &trackedStream{
			ReadCloser: io.NopCloser(io.MultiReader(strings.NewReader("id: 1"), errorReader{err})),
			ctx:        context.Background(),
			dispatch:   &dispatch{f: f, verdict: c.verdict, winner: &catalog.Upstream{Upstream: &upstream.Upstream{}}},
		}
		_, got := io.ReadAll(w)
		is.True(got == nil || errors.Is(got, err))
		is.Equal(c.cuts, cuts)
		is.Equal(c.cleared, 1-cuts)
	}
}

// errorReader is a reader that always returns err.
type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

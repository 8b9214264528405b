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
	"github.com/egretbend/egretbend/internal/route/suspect"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// court judges all requests alike, and notes what it hears.
type court struct {
	verdict suspect.Verdict

	mu      sync.Mutex
	cuts    int
	cleared int
}

// Judge implements Suspects.
func (c *court) Judge(func() fingerprint.Sum) suspect.Verdict {
	return c.verdict
}

// Answered implements Suspects.
func (c *court) Answered(func() fingerprint.Sum) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleared++
}

// Cut implements Crashes.
func (c *court) Cut(crash.Cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts++
}

// counts is what a sender saw.
type counts struct{ sent, runs int }

// counted returns what the sender saw so far; attempts may be under way.
func (s *sender) counted() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return counts{
		sent: s.sent,
		runs: s.runs,
	}
}

// send sends one request that may be repeated.
func (c *court) send(s *sender, attempts int) (*Answer, error) {
	f, stop := newForwarder(s, 6)
	defer stop()
	f.Crashes, f.Suspects = c, c
	r := route(catalog.Idempotent)
	r.Attempts = attempts
	return f.Do(context.Background(), Request{
		ID:    "x",
		Route: r,
	})
}

// Guards against a request that is known to crash upstreams and is offered to one more, or
// held until its deadline.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := &sender{fates: []fate{answers}}
	c := &court{verdict: suspect.Verdict{Crashes: 4, RetryAfter: time.Minute}}
	_, err := c.send(s, 2)
	e := problem.From(err)
	is.True(problem.Is(err, problem.Quarantined))
	is.Equal(e.Kind.Outcome, problem.NotRun)
	is.Equal(e.Kind.Status, http.StatusServiceUnavailable)
	is.Equal(e.RetryAfter, time.Minute)
	is.Equal(s.counted().sent, 0)
}

// Guards against a request that crashes as many upstreams as its route allows attempts,
// and against a second attempt beside one on trial.
func TestSuspectedRequestIsNotRepeated(t *testing.T) {
	is := is.New(t)
	for before, runs := range map[int]int{0: 3, 1: 2, 2: 1, 3: 1} {
		s := &sender{fates: []fate{cuts}}
		c := &court{verdict: suspect.Verdict{Crashes: before}}
		_, err := c.send(s, 6)
		is.True(problem.Is(err, problem.UpstreamFailed))
		is.Equal(s.counted().runs, runs)
		is.Equal(c.cuts, runs)
		is.Equal(c.cleared, 0)
	}
	s := &sender{fates: []fate{hangs}}
	c := &court{verdict: suspect.Verdict{Crashes: 3}}
	_, err := c.send(s, 6)
	is.True(problem.Is(err, problem.UpstreamTimeout))
	is.Equal(s.counted().runs, 1)
}

// Guards against a suspected request that is given up since an upstream that never ran it
// was full.
func TestSuspectedRequestIsOfferedUntilItRuns(t *testing.T) {
	is := is.New(t)
	s := &sender{fates: []fate{refuses, unsent, answers}}
	c := &court{verdict: suspect.Verdict{Crashes: 3}}
	_, err := c.send(s, 2)
	is.NoErr(err)
	is.Equal(c.cleared, 1)
}

// Guards against requests that stay suspected though an upstream answered them, be it that
// another one of the same kind was cut off meanwhile.
func TestAnsweredRequestIsCleared(t *testing.T) {
	is := is.New(t)
	for _, fates := range [][]fate{{cuts, answers}, {cuts, fails}, {answers}} {
		c := &court{}
		_, err := c.send(&sender{fates: fates}, 2)
		is.NoErr(err)
		is.Equal(c.cleared, 1)
	}
}

// Guards against an upstream that ends in the middle of a stream and counts as one that
// answered.
func TestStreamThatIsCutOffIsACrash(t *testing.T) {
	is := is.New(t)
	for err, cuts := range map[error]int{io.EOF: 0, engine.ErrBroken: 1} {
		c := &court{verdict: suspect.Verdict{Crashes: 1}}
		f := &Forwarder{Crashes: c, Suspects: c, Timer: &timer.Manual{}}
		w := &watched{
			ReadCloser: io.NopCloser(io.MultiReader(strings.NewReader("id: 1"), failing{err})),
			ctx:        context.Background(),
			t:          &trip{f: f, verdict: c.verdict, winner: &catalog.Upstream{Upstream: &upstream.Upstream{}}},
		}
		_, got := io.ReadAll(w)
		is.True(got == nil || errors.Is(got, err))
		is.Equal(c.cuts, cuts)
		is.Equal(c.cleared, 1-cuts)
	}
}

// failing is a stream that ends in an error.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

package forward

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
)

// fakeClaims implements CrashReporter, PoisonDetector and CrashClaims. A cut is a crash if
// crashed is set, and every known crash makes the request suspected.
type fakeClaims struct {
	crashed    bool
	silent     bool // never reports the result of a check
	unrecorded bool // crashes are not on record, as without a secret
	permission poison.Permission

	mu        sync.Mutex
	crashes   int
	total     int
	acquired  int
	refusals  []poison.ClaimRequest
	ended     []bool
	published int
}

func (c *fakeClaims) verdict() poison.Verdict {
	return poison.Verdict{
		Crashes:      c.crashes,
		TotalCrashes: c.total,
	}
}

// ReportCutOff implements CrashReporter.
func (c *fakeClaims) ReportCutOff(cut crash.Cut) {
	c.mu.Lock()
	if c.crashed && !c.unrecorded {
		c.crashes++
	}
	c.mu.Unlock()
	if !c.silent {
		cut.OnResult(c.crashed)
	}
}

// Judge implements PoisonDetector.
func (c *fakeClaims) Judge(func() fingerprint.Digest) poison.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.verdict()
}

// RecordAnswer implements PoisonDetector.
func (c *fakeClaims) RecordAnswer(func() fingerprint.Digest) {}

// Acquire implements CrashClaims.
func (c *fakeClaims) Acquire(_ context.Context, req poison.ClaimRequest) poison.ClaimResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := poison.ClaimResult{Permission: c.permission, Verdict: c.verdict(), RetryAfter: time.Second}
	switch {
	case !c.verdict().Suspected():
		r.Permission = poison.Unrestricted
	case c.permission == poison.Serial:
		c.acquired++
		r.Claim = c
	case c.permission == poison.Refused:
		c.refusals = append(c.refusals, req)
	}
	return r
}

// Publish implements CrashClaims.
func (c *fakeClaims) Publish(context.Context, poison.ClaimRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.published++
}

// End implements poison.Claim.
func (c *fakeClaims) End(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = append(c.ended, answered)
}

// send forwards a repeatable request with the given attempts, and waits until each claim has
// ended.
func (c *fakeClaims) send(t *testing.T, attempts int, behaviours ...behaviour) (*sender, error) {
	s := &sender{behaviours: behaviours}
	f, stop := newForwarder(s, 6)
	defer stop()
	f.CrashReporter, f.PoisonDetector, f.CrashClaims = c, c, c
	r := route(catalog.Idempotent)
	r.Attempts = attempts
	_, err := f.Do(context.Background(), Request{ID: "x", Route: r})
	c.awaitEnds(t)
	return s, err
}

// awaitEnds waits until each acquired claim has ended.
func (c *fakeClaims) awaitEnds(t *testing.T) {
	t.Helper()
	ended := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.ended) == c.acquired
	}
	if !timer.Poll(timer.Real{}, time.Millisecond, 10*time.Second, nil, ended) {
		t.Fatalf("%d claims ended of %d", len(c.ended), c.acquired)
	}
}

// Guards against a poison request that takes the last upstreams of a small service, so that
// requests beside it are refused until one is back.
func TestSuspectedRequestSparesLastUpstream(t *testing.T) {
	is := is.New(t)
	for total, runs := range map[int]int{4: 1, 5: 0} { // of 6 upstreams
		c := &fakeClaims{permission: poison.Serial, crashes: 1, total: total}
		s, err := c.send(t, 1, answers)
		is.Equal(s.counted().runs, runs)
		is.Equal(err == nil, runs > 0)
		if err != nil {
			e := problem.From(err)
			is.Equal(e.Kind.Outcome, problem.NotRun)
			is.True(e.RetryAfter > 0)
		}
	}
}

// Guards against a second attempt without a claim after a crash, and against a claim that
// is not ended or reported as answered.
func TestSecondAttemptAfterCrashIsClaimed(t *testing.T) {
	is := is.New(t)
	c := &fakeClaims{crashed: true, permission: poison.Serial}
	s, err := c.send(t, 2, cuts, answers)
	is.NoErr(err)
	is.Equal(s.runs, 2)
	is.Equal(c.ended, []bool{true})

	c = &fakeClaims{crashed: true, permission: poison.Serial}
	s, err = c.send(t, 3, cuts)
	is.True(problem.Is(err, problem.UpstreamFailed))
	is.Equal(s.runs, c.acquired+1) // one claim for each further attempt
	is.Equal(c.ended, make([]bool, c.acquired))
}

// Guards against claims after a cut that was no crash, or whose check has no result.
func TestCutWithoutCrashNeedsNoClaim(t *testing.T) {
	is := is.New(t)
	for _, c := range []*fakeClaims{{}, {silent: true}} {
		s, err := c.send(t, 2, cuts, answers)
		is.NoErr(err)
		is.Equal(s.runs, 2)
		is.Equal(c.acquired, 0)
	}
}

// Guards against "not run" for a request that ran, and against holding or sending one that
// got no claim.
func TestRefusedClaimEndsTheRequest(t *testing.T) {
	is := is.New(t)
	c := &fakeClaims{crashes: 1, permission: poison.Refused}
	s, err := c.send(t, 2, answers)
	e := problem.From(err)
	is.Equal(e.Kind, problem.Quarantined)
	is.Equal(e.RetryAfter, time.Second)
	is.Equal(s.sent, 0)
	is.True(!c.refusals[0].Ran)

	c = &fakeClaims{crashed: true, permission: poison.Refused}
	s, err = c.send(t, 2, cuts)
	is.True(problem.Is(err, problem.UpstreamFailed))
	is.Equal(s.runs, 1)
	is.True(c.refusals[0].Ran)
}

// Guards against hedging a suspected request, which would run twice at the same time.
func TestSuspectedRequestIsNotHedged(t *testing.T) {
	is := is.New(t)
	for _, p := range []poison.Permission{poison.Serial, poison.Once} {
		c := &fakeClaims{crashes: 1, permission: p}
		s, err := c.send(t, 2, hangs)
		is.True(problem.Is(err, problem.UpstreamTimeout))
		is.Equal(s.counted().runs, 1)
	}
}

// Guards against a crash that other instances learn of late because the request is not
// sent again here.
func TestCrashWithoutSecondAttemptIsPublished(t *testing.T) {
	is := is.New(t)
	c := &fakeClaims{crashed: true, permission: poison.Serial}
	s, _ := c.send(t, 1, cuts)
	is.Equal(s.runs, 1)
	published := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.published == 1
	}
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 10*time.Second, nil, published))
	is.Equal(c.acquired, 0)
}

// Guards against a claim that stays held when its caller leaves the stream early, and one
// that ends before its stream.
func TestStreamHoldsClaimUntilItEnds(t *testing.T) {
	is := is.New(t)
	for _, readAll := range []bool{true, false} {
		c := &fakeClaims{acquired: 1}
		f := &Forwarder{CrashReporter: c, PoisonDetector: c, CrashClaims: c, Timer: &timer.Manual{}}
		w := &trackedStream{
			ReadCloser: io.NopCloser(strings.NewReader("id: 1")),
			ctx:        context.Background(),
			dispatch:   &dispatch{f: f, claims: claimState{held: c}},
		}
		is.Equal(len(c.ended), 0)
		if readAll {
			_, err := io.ReadAll(w)
			is.NoErr(err)
		}
		is.NoErr(w.Close())
		is.Equal(c.ended, []bool{readAll})
	}
}

// Guards against a request that is sent as often as its route allows because its crashes are not
// on record and no longer counted by its own attempts.
func TestUnrecordedCrashesEndAttempts(t *testing.T) {
	is := is.New(t)
	c := &fakeClaims{permission: poison.Serial, crashed: true, unrecorded: true}
	s, err := c.send(t, 6, cuts)
	is.True(problem.Is(err, problem.UpstreamFailed))
	is.Equal(s.counted().runs, 3)
}

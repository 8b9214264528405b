package forward

import (
	"context"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/poison"
	"github.com/egretbend/egretbend/internal/route/policy"
)

const (
	// maxProbeWait bounds the wait for the check whether an upstream crashed, before the
	// request is sent again. A closed port responds within a round trip. Without a result
	// the cut counts as no crash.
	maxProbeWait = 100 * time.Millisecond
	// probeWaitShare is the fraction 1/probeWaitShare of the time left that the wait may take.
	probeWaitShare = 3
	// maxProbeTime bounds the wait for the check when no caller waits. It exceeds the limits
	// of crash.Reporter.
	maxProbeTime = 2 * time.Second
)

// claimState is the part of a dispatch that concerns claims of suspected requests.
type claimState struct {
	// held is the claim under which the request is sent; nil if there is none.
	held poison.Claim
	// once is set while the request is sent without a claim although it is suspected.
	once bool
	// results receives whether an upstream crashed, for each of pending cut attempts.
	results chan bool
	pending int
}

// expectResult returns the function to call with the result of a check.
func (s *claimState) expectResult() func(crashed bool) {
	if s.results == nil {
		s.results = make(chan bool, policy.MaxTried)
	}
	s.pending++
	results := s.results
	return func(crashed bool) { results <- crashed }
}

// startClaimedAttempt starts an attempt if the request is not suspected of crashing
// upstreams or may be sent now. It waits for the result of the check of a cut attempt, and
// for a claim that another instance holds.
func (d *dispatch) startClaimedAttempt(ctx context.Context) error {
	if d.f.CrashClaims == nil || !d.mayBePoison() || d.sent == 0 && !d.verdict.Suspected() {
		return d.startAttempt(ctx)
	}
	limit := min(maxProbeWait, d.timeLeft()/probeWaitShare)
	crashes, pending := d.awaitProbes(ctx, d.claims.results, d.claims.pending, limit)
	d.claims.pending = pending
	if crashes > 0 {
		// The verdict of the next claim includes the crashes.
		d.cutAttempts = max(0, d.cutAttempts-crashes)
		d.endClaim(false)
	}
	if d.claims.held != nil {
		return d.startAttempt(ctx)
	}
	r := d.f.CrashClaims.Acquire(ctx, d.claimRequest())
	d.verdict = r.Verdict
	if !d.verdict.Suspected() {
		// The crashes are not on record, for example while there is no secret.
		d.cutAttempts += crashes
	}
	d.claims.held = r.Claim
	d.claims.once = r.Permission == poison.Once
	if r.Permission == poison.Refused {
		return problem.Quarantined.Withf("%s", r.Verdict).WithRetryAfter(r.RetryAfter)
	}
	if delay := r.Verdict.SparingDelay(len(d.group.Upstreams)); delay > 0 {
		d.endClaim(false)
		return problem.Quarantined.Withf("%s; the upstreams that are left serve other requests", r.Verdict).WithRetryAfter(delay)
	}
	return d.startAttempt(ctx)
}

// timeLeft returns the time until the deadline of the request.
func (d *dispatch) timeLeft() time.Duration { return max(0, d.deadline.Sub(d.f.Timer.Now())) }

// claimRequest returns the request for a claim.
func (d *dispatch) claimRequest() poison.ClaimRequest {
	return poison.ClaimRequest{
		RequestID: d.req.ID,
		Digest:    d.req.digest,
		Ran:       d.possiblyRun,
		TimeLeft:  d.timeLeft(),
	}
}

// awaitProbes waits for n results of checks, for at most limit. It returns the number of
// crashes and of the missing results.
func (d *dispatch) awaitProbes(ctx context.Context, results <-chan bool, n int, limit time.Duration) (crashes, missing int) {
	if n == 0 {
		return 0, 0
	}
	sub := d.f.Timer.Once(limit)
	defer sub.Close()
	for ; n > 0; n-- {
		select {
		case crashed := <-results:
			if crashed {
				crashes++
			}
		case <-sub.C:
			return crashes, n
		case <-ctx.Done():
			return crashes, n
		}
	}
	return crashes, 0
}

// serialOnly reports whether the request must not be hedged, as it is suspected of crashing
// upstreams.
func (d *dispatch) serialOnly() bool {
	if d.f.CrashClaims == nil || !d.mayBePoison() {
		return false
	}
	return d.claims.held != nil || d.claims.once || d.f.PoisonDetector.Judge(d.req.digest).Suspected()
}

// endClaim ends the claim of the request, or tells other instances of its crashes if it
// has none. It does not block: a check that is still running is awaited in the background.
func (d *dispatch) endClaim(answered bool) {
	held, pending := d.claims.held, d.claims.pending
	d.claims.held, d.claims.pending = nil, 0
	switch {
	case d.f.CrashClaims == nil:
	case pending > 0:
		results, req := d.claims.results, d.claimRequest()
		d.claims.results = nil // later attempts get a channel of their own
		go func() {
			crashes, _ := d.awaitProbes(context.Background(), results, pending, maxProbeTime)
			if held != nil {
				held.End(answered)
			} else if crashes > 0 && !answered {
				d.f.CrashClaims.Publish(context.Background(), req)
			}
		}()
	case held != nil:
		held.End(answered)
	}
}

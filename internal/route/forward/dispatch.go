package forward

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/poison"
	"github.com/egretbend/egretbend/internal/route/policy"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	attempt int // index of the attempt, from 0
	u       *catalog.Upstream
	answer  *Answer
	err     error
	took    time.Duration
}

// dispatch is the state of one request while it is forwarded. Attempts run in goroutines
// of their own, which send their results to results.
type dispatch struct {
	f       *Forwarder
	req     Request
	service string
	// group is the part of the upstreams of the service in the allowed regions.
	group *catalog.Group
	// cfg is the configuration by which regions, the allowed regions, was looked up.
	// regionsChanged is set while group does not match regions yet.
	cfg            *catalog.Configuration
	regions        residency.Regions
	regionsChanged bool
	// gate is the admission control of the service; nil if there is none.
	gate     *admission.Service
	started  timer.Instant
	deadline timer.Instant
	results  chan attemptResult
	tried    [policy.MaxTried]*upstream.Upstream
	cancels  []context.CancelFunc
	// sent counts the attempts, inFlight those without a result yet, and notRun
	// those that certainly did not run.
	sent     int
	notRun   int
	inFlight int
	// refused counts the attempts that upstreams refused.
	refused int
	// failures counts the answers with status 500. Running out of time does not count
	// as a failure of the upstream.
	failures int
	// possiblyRun is set once an attempt has ended that may have run.
	possiblyRun bool
	// verdict tells whether the request is suspected of crashing upstreams.
	// cutAttempts counts the attempts that were cut off.
	verdict     poison.Verdict
	cutAttempts int
	claims      claimState
	// winner is the upstream whose answer is returned.
	winner *catalog.Upstream
	// lastErr is the error of the attempt that ended last.
	lastErr error
	// outcomes holds the outcome of each attempt for the log; it is empty while the
	// attempt is in flight.
	outcomes [policy.MaxTried]string
	// undoUsage reverts the usage count of the request; nil if it is not counted.
	undoUsage func()
}

// runAttempts sends the request, hedges and retries it, and returns when it is
// answered, can't be retried, has timed out or ctx has ended.
func (d *dispatch) runAttempts(ctx context.Context) (*Answer, error) {
	defer d.cancelOthers(nil)
	if err := d.startFirst(ctx); err != nil {
		return nil, err
	}
	deadlineTimer := d.f.Timer.Once(d.deadline.Sub(d.f.Timer.Now()))
	defer deadlineTimer.Close()
	hedgeTimer := d.f.Timer.Once(d.hedgeDelay())
	defer func() { hedgeTimer.Close() }()
	for {
		select {
		case r := <-d.results:
			if done, answer, err := d.handleResult(ctx, r); done {
				return answer, err
			}
		case <-hedgeTimer.C:
			hedgeTimer.Close()
			if d.mayHedge() {
				d.startHedge(ctx)
			}
			hedgeTimer = d.f.Timer.Once(d.hedgeDelay())
		case <-deadlineTimer.C:
			return nil, d.timeoutError()
		case <-ctx.Done():
			d.possiblyRun = true
			return nil, problem.UpstreamTimeout.Withf("the request was cancelled: %w", context.Cause(ctx))
		}
	}
}

// handleResult handles the result of one attempt. It reports whether the dispatch is
// finished and, if so, the answer or error for the caller; otherwise it may have
// started another attempt.
func (d *dispatch) handleResult(ctx context.Context, r attemptResult) (bool, *Answer, error) {
	d.inFlight--
	d.recordResult(r)
	d.outcomes[r.attempt] = outcomeOf(r)
	if errors.Is(r.err, engine.ErrConnectionLost) {
		d.reportCut(r.u)
	}
	if r.answer != nil {
		r.answer.Upstream = r.u.ID
		r.answer.Attempts = d.sent
		r.answer.SentAt = d.f.Timer.Now().Add(-r.took)
	}
	if r.err == nil && !d.retriable(r.answer.Status) {
		d.winner = r.u
		d.cancelOthers(&r)
		return true, r.answer, nil
	}
	if r.err == nil {
		if r.answer.Status == http.StatusInternalServerError {
			d.failures++
		}
		r.answer.Failures = d.failures
		r.err = problem.UpstreamFailed.Withf("upstream %s answered with status %d", r.u.ID, r.answer.Status)
	}
	d.lastErr = r.err
	if mayHaveRun(r.err) {
		d.possiblyRun = true
	} else {
		d.notRun++
		d.revertUsage()
	}
	if d.inFlight > 0 {
		return false, nil, nil
	}
	if !d.mayRetry() {
		if r.answer != nil {
			return true, r.answer, nil
		}
		return true, nil, d.finalError(nil)
	}
	if err := d.startNext(ctx, r.err); err != nil {
		if r.answer != nil {
			return true, r.answer, nil
		}
		return true, nil, d.finalError(err)
	}
	return false, nil, nil
}

// retriable reports whether an answer with this status may be followed by another
// attempt: it is a failure of the upstream and the request is repeatable.
func (d *dispatch) retriable(status int) bool {
	return status >= http.StatusInternalServerError && d.req.Route.Repeatable()
}

// mayRetry reports whether another attempt may be started after a failed one.
func (d *dispatch) mayRetry() bool {
	if d.possiblyRun && (!d.req.Route.Repeatable() || !d.verdict.MayRetry(d.cutAttempts, 0)) {
		return false
	}
	if d.possibleRuns() >= max(1, d.req.Route.Attempts) || d.sent >= maxSends {
		return false
	}
	return d.deadline.Sub(d.f.Timer.Now()) > minTimeLeft
}

// mayHedge reports whether a second attempt may be started while the first is in
// flight.
func (d *dispatch) mayHedge() bool {
	return d.inFlight == 1 && d.req.Route.Repeatable() && d.req.Route.Kind != catalog.Streaming &&
		d.verdict.MayRetry(d.cutAttempts, d.inFlight) && d.mayRetry() && !d.serialOnly()
}

// possibleRuns returns how many attempts may have run or may still run.
func (d *dispatch) possibleRuns() int { return d.sent - d.notRun }

// recordResult updates the upstream's state and the metrics with the result of an
// attempt.
func (d *dispatch) recordResult(r attemptResult) {
	now := d.f.Timer.Now()
	if r.answer != nil && r.answer.Load != nil {
		r.u.RecordReport(*r.answer.Load, now)
	}
	var refused *engine.RefusedError
	switch {
	case r.err == nil && r.answer.Status < http.StatusInternalServerError:
		r.u.Succeeded(r.took)
		r.u.ConnectionIdle(now, r.answer.KeepAlive)
	case r.err == nil:
		r.u.Failed(now)
	case errors.Is(r.err, engine.ErrMisdirected):
		r.u.MarkLeaving()
		r.u.Cancelled()
	case errors.As(r.err, &refused), errors.Is(r.err, context.Canceled), errors.Is(r.err, engine.ErrWithdrawn):
		r.u.Cancelled()
	case errors.Is(r.err, engine.ErrNotSent):
		r.u.Unreachable(now)
	default:
		r.u.Failed(now)
	}
	d.leaveGate(r, false)
	d.f.Metrics.attempt(r)
}

// cancelledBeforeRun returns the error for a request that was cancelled before an upstream may have
// run it: its caller is gone, or this instance ends and the cause of ctx tells when to come again.
func cancelledBeforeRun(ctx context.Context) error {
	var leaving *problem.Error
	if errors.As(context.Cause(ctx), &leaving) {
		return leaving
	}
	return problem.UpstreamTimeout.Withf("the caller cancelled the request: %w", ctx.Err()).WithOutcome(problem.NotRun)
}

// mayHaveRun reports whether an attempt that failed with err may have run.
func mayHaveRun(err error) bool {
	var refused *engine.RefusedError
	return !errors.Is(err, engine.ErrNotSent) && !errors.Is(err, engine.ErrWithdrawn) && !errors.Is(err, engine.ErrMisdirected) &&
		!errors.As(err, &refused)
}

// timeoutError returns the error for the caller when the request has timed out. An
// attempt in flight may have run.
func (d *dispatch) timeoutError() error {
	d.possiblyRun = d.possiblyRun || d.inFlight > 0
	if d.lastErr == nil {
		d.lastErr = problem.UpstreamTimeout.Withf("no answer in %s", d.deadline.Sub(d.started))
	}
	if d.possiblyRun {
		return problem.UpstreamTimeout.Withf("no answer in %s: %w", d.deadline.Sub(d.started), d.lastErr)
	}
	return problem.DeadlineBeforeRun.Withf("no upstream accepted the request in %s: %w", d.deadline.Sub(d.started), d.lastErr)
}

// finalError returns the error for the caller when no attempt is in flight and none can
// be started. Its outcome is problem.NotRun only if no attempt may have run.
func (d *dispatch) finalError(startErr error) error {
	if d.possiblyRun {
		return problem.UpstreamFailed.Withf("after %d attempts: %w", d.sent, d.lastErr)
	}
	if errors.Is(d.lastErr, engine.ErrWithdrawn) && problem.Is(startErr, problem.NoUpstream) {
		return startErr
	}
	if d.lastErr != nil {
		return problem.UpstreamRefused.Withf("after %d attempts: %w", d.sent, d.lastErr).WithRetryAfter(retryAfter(startErr))
	}
	return startErr
}

// logOutcome logs the finished request and updates its metrics.
func (d *dispatch) logOutcome(service string, answer *Answer, err error) {
	fields := log.Fields{
		"request_id": d.req.ID,
		"route":      d.req.Route.Name,
		"service":    service,
		"for":        d.req.Organisation,
		"attempts":   d.sent,
		"of":         len(d.group.Upstreams),
		"took_ms":    d.f.Timer.Now().Sub(d.started).Milliseconds(),
	}
	outcome := "answered"
	if err != nil {
		outcome = problem.From(err).Kind.Code
		fields["error"] = err.Error()
		if d.f.ConfigFields != nil {
			maps.Copy(fields, d.f.ConfigFields())
		}
	}
	if d.req.ConfigVersion != 0 {
		fields["version"] = d.req.ConfigVersion
	}
	if d.regions.Restricted() {
		fields["regions"] = d.regions.String()
		d.logRegionRefusal(err)
	}
	if d.sent > 1 || err != nil {
		fields["tried"] = d.attemptHistory()
	}
	if len(d.group.EvacuatedDomains) > 0 && (d.sent > 1 || err != nil) {
		fields["evacuated"] = strings.Join(d.group.EvacuatedDomains, ", ")
	}
	if d.verdict.Suspected() {
		maps.Copy(fields, d.verdict.Fields())
	}
	if answer != nil {
		fields["upstream"] = answer.Upstream
		fields["status"] = answer.Status
	}
	fields["outcome"] = outcome
	d.f.Metrics.request(d.req.Route, outcome, d.f.Timer.Now().Sub(d.started))
	d.f.Journal.Decision("forward", fields)
}

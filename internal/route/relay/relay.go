package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/route/router"
	"github.com/egretbend/egretbend/internal/route/upstream"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// Relay sends calls to plain services.
type Relay struct {
	Router *router.Router
	Client *wire.Client
	Timer  timer.Service
	// ReadBody reads the body of an answer, with its length or -1 if that is unknown.
	// It may wait until there is room for it. Nil reads it at once.
	ReadBody func(ctx context.Context, body io.Reader, length int64) ([]byte, error)
}

// Do sends a call and repeats it at other upstreams until it is answered or may not be
// repeated. The deadline is that of ctx.
func (r *Relay) Do(ctx context.Context, c Call) (*Answer, error) {
	dispatch, err := r.Router.Admit(router.Request{
		RequestID:    c.RequestID,
		Caller:       c.Caller,
		Priority:     c.Priority,
		Weight:       c.Weight,
		Deployment:   c.Deployment,
		Organisation: c.Organisation,
		Digest:       c.digest,
	})
	if err != nil {
		return nil, err
	}
	if dispatch.Set.Deployment.Kind != configuration.KindService {
		dispatch.Close(limit.Ignored)
		return nil, problem.UnknownDeployment.Withf("deployment %q is not a service", c.Deployment)
	}
	answer, err := r.runAttempts(ctx, dispatch, c)
	dispatch.Close(limitResult(err))
	return answer, err
}

// runAttempts sends the call to one upstream after the other. Once an attempt may have
// run, possiblyRun stays true, whatever the outcome of later attempts.
func (r *Relay) runAttempts(ctx context.Context, dispatch *router.Dispatch, c Call) (*Answer, error) {
	var lastErr error
	possiblyRun := false
	for {
		u, err := dispatch.NextUpstream()
		if err != nil {
			return nil, finalError(err, lastErr, possiblyRun)
		}
		answer, failure := r.sendAttempt(ctx, dispatch, c, u)
		if failure == nil {
			answer.Upstream = u.ID
			answer.Attempts = dispatch.Attempts()
			return answer, nil
		}
		lastErr = failure
		if errors.Is(failure, engine.ErrConnectionLost) {
			dispatch.ReportCutOff(u)
		}
		possiblyRun = possiblyRun || problem.From(failure).Kind.Outcome == problem.Unknown
		if ctx.Err() != nil || (possiblyRun && !c.Idempotent) || !dispatch.MayRetry() {
			return nil, finalError(nil, lastErr, possiblyRun)
		}
	}
}

// finalError returns the error for the caller: that of the last attempt, or choiceErr
// if there was no attempt. Its outcome is problem.NotRun only if no attempt may have
// run.
func finalError(choiceErr, lastErr error, possiblyRun bool) error {
	if lastErr == nil {
		lastErr = choiceErr
	}
	e := problem.From(lastErr)
	if possiblyRun {
		e = e.WithOutcome(problem.Unknown)
	}
	if e.RetryAfter == 0 && e.Kind.Status >= http.StatusInternalServerError {
		e = e.WithRetryAfter(time.Second)
	}
	return e
}

// limitResult returns what the call's error tells the limiter about the load.
func limitResult(err error) limit.Result {
	switch {
	case err == nil:
		return limit.Succeeded
	case problem.Is(err, problem.UpstreamRefused), problem.Is(err, problem.UpstreamTimeout):
		return limit.Overloaded
	}
	return limit.Ignored
}

// sendAttempt makes one attempt at an upstream.
func (r *Relay) sendAttempt(ctx context.Context, dispatch *router.Dispatch, c Call, u *upstream.Upstream) (*Answer, error) {
	d := dispatch.Set.Deployment
	attempt := c.RequestID + "." + strconv.Itoa(dispatch.Attempts())
	req, err := newRequest(ctx, c, u.Address, attempt)
	if err != nil {
		u.Cancelled()
		return nil, problem.BadRequest.With(err)
	}
	reuse := wire.Reuse(c.Idempotent && d.EchoesAttempt)
	started := r.Timer.Now()
	res, sent, err := r.Client.Do(req, reuse)
	if err != nil {
		return nil, r.classifyFailure(ctx, u, sent, err)
	}
	answer, err := r.readAnswer(ctx, res, d, attempt, reuse)
	if err != nil {
		return nil, r.classifyFailure(ctx, u, true, err)
	}
	r.recordLoad(u, res.Header)
	return r.classifyAnswer(u, answer, res, started)
}

// classifyAnswer turns a complete answer into the result of the attempt. A request
// answered with 503 counts as not run only if the upstream says so in
// engine.HeaderNotRun.
func (r *Relay) classifyAnswer(u *upstream.Upstream, answer *Answer, res *http.Response, started timer.Instant) (*Answer, error) {
	now := r.Timer.Now()
	switch res.StatusCode {
	case http.StatusServiceUnavailable:
		if res.Header.Get(engine.HeaderNotRun) != "" {
			u.Cancelled()
			return nil, problem.UpstreamRefused.Withf("upstream %s refused the request", u.ID).
				WithRetryAfter(max(time.Second, engine.RetryAfter(res.Header)))
		}
		fallthrough
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		u.Failed(now)
		return nil, problem.UpstreamFailed.Withf("upstream %s answered with status %d", u.ID, res.StatusCode)
	}
	u.Succeeded(now.Sub(started))
	return answer, nil
}

// classifyFailure returns the error of an attempt without a complete answer and records
// the failure at the upstream.
func (r *Relay) classifyFailure(ctx context.Context, u *upstream.Upstream, sent bool, err error) error {
	// A call that its caller cancelled does not count against the upstream. One
	// that ran out of time does, since the time was spent at the upstream.
	if errors.Is(ctx.Err(), context.Canceled) {
		u.Cancelled()
	} else {
		u.Failed(r.Timer.Now())
	}
	var rejected *problem.Error
	switch {
	case errors.As(err, &rejected):
		return rejected
	case !sent && ctx.Err() != nil:
		return problem.DeadlineBeforeRun.Withf("upstream %s: %w", u.ID, err)
	case !sent:
		return problem.UpstreamRefused.Withf("upstream %s could not be reached: %w", u.ID, err)
	case ctx.Err() != nil:
		return problem.UpstreamTimeout.Withf("upstream %s: %w", u.ID, err)
	}
	return problem.UpstreamFailed.Withf("upstream %s: %w: %w", u.ID, engine.ErrConnectionLost, err)
}

// newRequest returns the HTTP request of one attempt.
func newRequest(ctx context.Context, c Call, address, attempt string) (*http.Request, error) {
	url := "http://" + address + "/" + strings.TrimPrefix(c.Path, "/")
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	copyHeaders(req.Header, c.Header, requestHeaders)
	req.Header.Set(HeaderRequestID, c.RequestID)
	req.Header.Set(HeaderAttempt, attempt)
	req.Header.Set(HeaderPriority, c.Priority.String())
	req.Header.Set(HeaderCaller, c.Caller)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return req, nil
}

// matchesAttempt reports whether an answer belongs to an attempt. echo is the attempt
// that the answer names, mustEcho whether the upstream is configured to name it.
// Without an echo from such an upstream, only a connection that carried no other
// request makes it certain.
func matchesAttempt(echo, attempt string, mustEcho bool, reuse wire.Reuse) bool {
	if echo == "" {
		return !mustEcho || reuse == wire.Fresh
	}
	return echo == attempt
}

// readAnswer reads the complete answer. It rejects a body with neither a length nor
// chunked encoding, since a crashing upstream could truncate it without any sign.
func (r *Relay) readAnswer(ctx context.Context, res *http.Response, d configuration.Deployment, attempt string, reuse wire.Reuse) (*Answer, error) {
	defer res.Body.Close()
	if echo := res.Header.Get(HeaderAttempt); !matchesAttempt(echo, attempt, d.EchoesAttempt, reuse) {
		return nil, problem.AnswerRejected.Withf("the answer is for attempt %q, not %q", echo, attempt)
	}
	chunked := len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
	if res.ContentLength < 0 && !chunked {
		return nil, problem.AnswerRejected.Withf("the answer has neither a content length nor chunked encoding")
	}
	limited := io.LimitReader(res.Body, d.MaxAnswerBytes+1)
	var body []byte
	var err error
	if r.ReadBody != nil {
		body, err = r.ReadBody(ctx, limited, min(bodyLength(res), d.MaxAnswerBytes+1))
	} else {
		body, err = io.ReadAll(limited)
	}
	if err != nil {
		return nil, fmt.Errorf("the answer was truncated: %w", err)
	}
	if int64(len(body)) > d.MaxAnswerBytes {
		return nil, problem.AnswerRejected.Withf("the answer is larger than %d bytes", d.MaxAnswerBytes)
	}
	answer := &Answer{
		Status: res.StatusCode,
		Header: make(http.Header),
		Body:   body,
	}
	copyHeaders(answer.Header, res.Header, responseHeaders)
	return answer, nil
}

// bodyLength returns the length of the body of a response, or -1 if it is unknown. A
// response to HEAD states the length of a body that it doesn't have.
func bodyLength(res *http.Response) int64 {
	if res.Body == http.NoBody {
		return 0
	}
	return res.ContentLength
}

// recordLoad records the load that the service reported with its answer, if it did.
func (r *Relay) recordLoad(u *upstream.Upstream, h http.Header) {
	var report engine.LoadReport
	n, _ := fmt.Sscanf(h.Get(HeaderLoad), "%d,%d,%d", &report.Running, &report.Waiting, &report.Slots)
	if n == 3 {
		u.RecordReport(report, r.Timer.Now())
	}
}

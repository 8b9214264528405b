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

// Relay sends calls to services.
type Relay struct {
	Router *router.Router
	Client *wire.Client
	Timer  timer.Service
}

// Do sends a call until it is answered or given up. ctx carries the deadline.
func (r *Relay) Do(ctx context.Context, c Call) (*Answer, error) {
	trip, err := r.Router.Enter(router.Job{
		RequestID:  c.RequestID,
		Caller:     c.Caller,
		Class:      c.Class,
		Weight:     c.Weight,
		Deployment: c.Deployment,
		Sum:        c.sum,
	})
	if err != nil {
		return nil, err
	}
	if trip.Set.Deployment.Kind != configuration.KindService {
		trip.Close(limit.Neutral)
		return nil, problem.UnknownDeployment.Withf("deployment %q is not a service", c.Deployment)
	}
	answer, err := r.attempts(ctx, trip, c)
	trip.Close(result(err))
	return answer, err
}

// attempts sends the call to one upstream after the other. ran remembers that
// an earlier attempt may have run, which no later refusal can take back.
func (r *Relay) attempts(ctx context.Context, trip *router.Trip, c Call) (*Answer, error) {
	var last error
	ran := false
	for {
		u, err := trip.Next()
		if err != nil {
			return nil, final(err, last, ran)
		}
		answer, failure := r.once(ctx, trip, c, u)
		if failure == nil {
			answer.Upstream = u.ID
			answer.Attempts = trip.Attempts()
			return answer, nil
		}
		last = failure
		if errors.Is(failure, engine.ErrCut) {
			trip.CutOff(u)
		}
		ran = ran || problem.From(failure).Kind.Outcome == problem.Unknown
		if ctx.Err() != nil || (ran && !c.Idempotent) || !trip.MayRetry() {
			return nil, final(nil, last, ran)
		}
	}
}

// final chooses the error for the caller: the last attempt's, unless there was
// none. "Not run" is said only if no attempt may have run.
func final(choice, last error, ran bool) error {
	if last == nil {
		last = choice
	}
	e := problem.From(last)
	if ran {
		e = e.WithOutcome(problem.Unknown)
	}
	if e.RetryAfter == 0 && e.Kind.Status >= http.StatusInternalServerError {
		e = e.WithRetryAfter(time.Second)
	}
	return e
}

func result(err error) limit.Result {
	switch {
	case err == nil:
		return limit.Good
	case problem.Is(err, problem.UpstreamRefused), problem.Is(err, problem.UpstreamTimeout):
		return limit.Pushed
	}
	return limit.Neutral
}

// once makes one attempt.
func (r *Relay) once(ctx context.Context, trip *router.Trip, c Call, u *upstream.Upstream) (*Answer, error) {
	d := trip.Set.Deployment
	attempt := c.RequestID + "." + strconv.Itoa(trip.Attempts())
	req, err := request(ctx, c, u.Address, attempt)
	if err != nil {
		u.Ended()
		return nil, problem.BadRequest.With(err)
	}
	reuse := wire.Reuse(c.Idempotent && d.EchoesAttempt)
	started := r.Timer.Now()
	res, sent, err := r.Client.Do(req, reuse)
	if err != nil {
		return nil, r.failed(ctx, u, sent, err)
	}
	answer, err := receive(res, d, attempt, reuse)
	if err != nil {
		return nil, r.failed(ctx, u, true, err)
	}
	r.noteLoad(u, res.Header)
	return r.judge(u, answer, res, started)
}

// judge turns a whole answer into the result of the attempt. Only an upstream
// that vouches for it has not run a request that it answered with 503.
func (r *Relay) judge(u *upstream.Upstream, answer *Answer, res *http.Response, started timer.Instant) (*Answer, error) {
	now := r.Timer.Now()
	switch res.StatusCode {
	case http.StatusServiceUnavailable:
		if res.Header.Get(engine.HeaderNotRun) != "" {
			u.Ended()
			return nil, problem.UpstreamRefused.Withf("upstream %s refused", u.ID).
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

// failed classifies an attempt without a whole answer.
func (r *Relay) failed(ctx context.Context, u *upstream.Upstream, sent bool, err error) error {
	// A caller that went away or ran out of time is no fault of the upstream,
	// unless the time went by at the upstream.
	if errors.Is(ctx.Err(), context.Canceled) {
		u.Ended()
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
		return problem.UpstreamRefused.Withf("upstream %s was not reached: %w", u.ID, err)
	case ctx.Err() != nil:
		return problem.UpstreamTimeout.Withf("upstream %s: %w", u.ID, err)
	}
	return problem.UpstreamFailed.Withf("upstream %s: %w: %w", u.ID, engine.ErrCut, err)
}

func request(ctx context.Context, c Call, address, attempt string) (*http.Request, error) {
	url := "http://" + address + "/" + strings.TrimPrefix(c.Path, "/")
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	copyHeaders(req.Header, c.Header, copiedIn)
	req.Header.Set(HeaderRequestID, c.RequestID)
	req.Header.Set(HeaderAttempt, attempt)
	req.Header.Set(HeaderPriority, c.Class.String())
	req.Header.Set(HeaderCaller, c.Caller)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return req, nil
}

// belongs reports whether an answer is for an attempt. Without the upstream's
// word that is sure only on a connection that carried no other request.
func belongs(echo, attempt string, echoes bool, reuse wire.Reuse) bool {
	if echo == "" {
		return !echoes || reuse == wire.Fresh
	}
	return echo == attempt
}

// receive reads the whole answer. A body without a declared end may have been
// cut short by a dying upstream without any sign of it, so it is refused.
func receive(res *http.Response, d configuration.Deployment, attempt string, reuse wire.Reuse) (*Answer, error) {
	defer res.Body.Close()
	if echo := res.Header.Get(HeaderAttempt); !belongs(echo, attempt, d.EchoesAttempt, reuse) {
		return nil, problem.AnswerRejected.Withf("the answer is for attempt %q, not %q", echo, attempt)
	}
	chunked := len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
	if res.ContentLength < 0 && !chunked {
		return nil, problem.AnswerRejected.Withf("the answer does not say where it ends")
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, d.MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("the answer was cut short: %w", err)
	}
	if int64(len(body)) > d.MaxAnswerBytes {
		return nil, problem.AnswerRejected.Withf("the answer is larger than %d bytes", d.MaxAnswerBytes)
	}
	answer := &Answer{
		Status: res.StatusCode,
		Header: make(http.Header),
		Body:   body,
	}
	copyHeaders(answer.Header, res.Header, copiedOut)
	return answer, nil
}

// noteLoad takes the load that came along with an answer.
func (r *Relay) noteLoad(u *upstream.Upstream, h http.Header) {
	var report engine.Report
	n, _ := fmt.Sscanf(h.Get(HeaderLoad), "%d,%d,%d", &report.Running, &report.Waiting, &report.Slots)
	if n == 3 {
		u.Heard(report, r.Timer.Now())
	}
}

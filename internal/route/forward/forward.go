package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/policy"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	Route  catalog.Route
	// Organisation is on whose behalf it is made; empty for nobody's.
	Organisation string
	// Deadline is when the caller stops waiting; zero if it did not say.
	Deadline time.Time
}

// Answer is an upstream's answer. Body is read to its end by whoever passes it
// on; for other than streaming routes it was read whole before.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream is the rest of a streaming answer; nil if Body is all.
	Stream io.ReadCloser
	// Proof is the upstream's signature of a whole answer.
	Proof string
	// Keeps is how long the connection may stay idle; 0 if it is closed.
	Keeps time.Duration
	// Load is the upstream's load, if it told.
	Load     *engine.Report
	Upstream string
	Attempts int
	// Failures is how many upstreams answered with a failure of their own.
	Failures int
}

// Sender sends one attempt. It returns an answer only if it is whole and
// belongs to this attempt. Errors: engine.ErrNotSent, ErrMisdirected,
// *RefusedError (all three: not run), ErrBroken, ErrCrossed (may have run).
type Sender interface {
	Send(ctx context.Context, u *catalog.Upstream, req Request, left time.Duration) (*Answer, error)
}

// Forwarder sends requests on.
type Forwarder struct {
	Book    *catalog.Book
	Sender  Sender
	Timer   timer.Service
	Journal *journal.Journal
	Metrics *Metrics
	// Usage counts the requests that begin to run; nil counts nothing.
	Usage Counter
}

// Counter counts requests by organisation.
type Counter interface {
	// Began counts one that is sent to an upstream; undo takes that back.
	Began(organisation string) (undo func())
}

// result is the end of one attempt.
type result struct {
	n      int
	u      *catalog.Upstream
	answer *Answer
	err    error
	took   time.Duration
}

// trip is one request on its way.
type trip struct {
	f       *Forwarder
	req     Request
	group   *catalog.Group
	started timer.Instant
	ends    timer.Instant
	results chan result
	tried   [policy.MaxTried]*upstream.Upstream
	cancels []context.CancelFunc
	sent    int
	refused int
	flying  int
	// failures counts answers by which an upstream says that it failed.
	failures int
	ran      bool
	last     error
	// undo takes back that the request was counted; nil if it is not.
	undo func()
}

// Do sends a request until it is answered or given up.
func (f *Forwarder) Do(ctx context.Context, req Request) (*Answer, error) {
	service := req.Route.Choose(rand.Float64())
	now := f.Timer.Now()
	t := &trip{
		f:       f,
		req:     req,
		group:   f.Book.Group(service),
		started: now,
		ends:    now.Add(limitOf(req, time.Now())),
		results: make(chan result, policy.MaxTried),
	}
	answer, err := t.run(ctx)
	t.log(service, answer, err)
	return answer, err
}

// limitOf returns how long a request may take.
func limitOf(req Request, now time.Time) time.Duration {
	limit := req.Route.Timeout
	if !req.Deadline.IsZero() {
		left := req.Deadline.Sub(now)
		if limit == 0 || left < limit {
			limit = left
		}
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	return limit
}

// run drives the attempts.
func (t *trip) run(ctx context.Context) (*Answer, error) {
	defer t.cancel(nil)
	if err := t.start(ctx); err != nil {
		return nil, err
	}
	give := t.f.Timer.Once(t.ends.Sub(t.f.Timer.Now()))
	defer give.Close()
	hedge := t.f.Timer.Once(t.patience())
	defer func() { hedge.Close() }()
	for {
		select {
		case r := <-t.results:
			if done, answer, err := t.take(ctx, r); done {
				return answer, err
			}
		case <-hedge.C:
			hedge.Close()
			if t.mayHedge() {
				_ = t.start(ctx)
			}
			hedge = t.f.Timer.Once(t.patience())
		case <-give.C:
			return nil, t.timeout()
		case <-ctx.Done():
			t.ran = true
			return nil, problem.UpstreamTimeout.Withf("the caller left: %w", ctx.Err())
		}
	}
}

// take handles the end of one attempt and reports whether the trip is over.
func (t *trip) take(ctx context.Context, r result) (bool, *Answer, error) {
	t.flying--
	t.account(r)
	if r.answer != nil {
		r.answer.Upstream = r.u.ID
		r.answer.Attempts = t.sent
	}
	if r.err == nil && !t.retriable(r.answer.Status) {
		t.cancel(&r)
		return true, r.answer, nil
	}
	if r.err == nil {
		t.failures++
		r.answer.Failures = t.failures
		r.err = problem.UpstreamFailed.Withf("upstream %s answered with status %d", r.u.ID, r.answer.Status)
	}
	t.last = r.err
	if mayHaveRun(r.err) {
		t.ran = true
	} else {
		t.refused++
		t.uncount()
	}
	if t.flying > 0 {
		return false, nil, nil
	}
	if !t.mayRepeat() {
		if r.answer != nil {
			return true, r.answer, nil
		}
		return true, nil, t.final(nil)
	}
	if err := t.start(ctx); err != nil {
		if r.answer != nil {
			return true, r.answer, nil
		}
		return true, nil, t.final(err)
	}
	return false, nil, nil
}

// retriable reports whether an answer of this status is worth another attempt:
// the upstream's own failures of a request that may be repeated.
func (t *trip) retriable(status int) bool {
	return status >= http.StatusInternalServerError && t.req.Route.Repeatable()
}

// mayRepeat reports whether another attempt may follow a failed one.
func (t *trip) mayRepeat() bool {
	if t.ran && !t.req.Route.Repeatable() {
		return false
	}
	if t.ranAttempts() >= max(1, t.req.Route.Attempts) || t.sent >= maxSends {
		return false
	}
	return t.ends.Sub(t.f.Timer.Now()) > leastLeft
}

// mayHedge reports whether a second attempt may run beside the first.
func (t *trip) mayHedge() bool {
	return t.flying == 1 && t.req.Route.Repeatable() && t.req.Route.Kind != catalog.Streaming && t.mayRepeat()
}

// ranAttempts is how many attempts may have run or still run.
func (t *trip) ranAttempts() int { return t.sent - t.refused }

// account notes what an attempt tells of its upstream.
func (t *trip) account(r result) {
	now := t.f.Timer.Now()
	if r.answer != nil && r.answer.Load != nil {
		r.u.Heard(*r.answer.Load, now)
	}
	var refused *engine.RefusedError
	switch {
	case r.err == nil && r.answer.Status < http.StatusInternalServerError:
		r.u.Succeeded(r.took)
		r.u.Kept(now, r.answer.Keeps)
	case r.err == nil:
		r.u.Failed(now)
	case errors.Is(r.err, engine.ErrMisdirected):
		r.u.MarkLeaving()
		r.u.Ended()
	case errors.As(r.err, &refused), errors.Is(r.err, context.Canceled):
		r.u.Ended()
	case errors.Is(r.err, engine.ErrNotSent):
		r.u.Unreachable(now)
	default:
		r.u.Failed(now)
	}
	t.f.Metrics.attempt(r)
}

// mayHaveRun reports whether an attempt's error leaves open that it ran.
func mayHaveRun(err error) bool {
	var refused *engine.RefusedError
	return !errors.Is(err, engine.ErrNotSent) && !errors.Is(err, engine.ErrMisdirected) && !errors.As(err, &refused)
}

// start sends the request to one more upstream.
func (t *trip) start(ctx context.Context) error {
	choice := t.choose()
	if choice == nil {
		return problem.NoUpstream.Withf("none of %d upstreams can be used", len(t.group.Upstreams)).
			WithRetryAfter(retryAfterNone)
	}
	ctx, cancel := context.WithCancel(ctx)
	t.cancels = append(t.cancels, cancel)
	n := t.sent
	t.tried[n] = choice.Upstream
	t.sent++
	t.flying++
	choice.Begin()
	t.count()
	begun := t.f.Timer.Now()
	left := t.ends.Sub(begun)
	go func() {
		answer, err := t.f.Sender.Send(ctx, choice, t.req, left)
		t.results <- result{
			n:      n,
			u:      choice,
			answer: answer,
			err:    err,
			took:   t.f.Timer.Now().Sub(begun),
		}
	}()
	return nil
}

// count counts the request when it is first sent.
func (t *trip) count() {
	if t.undo == nil && t.f.Usage != nil && t.req.Organisation != "" {
		t.undo = t.f.Usage.Began(t.req.Organisation)
	}
}

// uncount takes that back if no upstream runs it.
func (t *trip) uncount() {
	if t.undo != nil && t.ranAttempts() == 0 {
		t.undo()
		t.undo = nil
	}
}

// choose picks an upstream that was not tried yet, or failing that any that is
// not at work on the request now.
func (t *trip) choose() *catalog.Upstream {
	q := policy.Query{
		Random: rand.Uint64(),
		Now:    t.f.Timer.Now(),
		Tried:  t.tried,
	}
	var p policy.Policy = policy.TwoChoices{}
	if t.req.Route.Repeatable() && t.sent == 0 {
		// What may not be repeated goes over a connection of its own, and a
		// second attempt looks for the least loaded upstream.
		p = policy.Warm{}
	}
	c := p.Choose(t.group.Set, q)
	if c.Upstream == nil && t.flying == 0 {
		q.Tried = [policy.MaxTried]*upstream.Upstream{}
		c = policy.TwoChoices{}.Choose(t.group.Set, q)
	}
	if c.Upstream == nil {
		return nil
	}
	for _, u := range t.group.Upstreams {
		if u.Upstream == c.Upstream {
			return u
		}
	}
	return nil
}

// cancel ends all attempts but the winner. Their upstreams were slower than
// another one; they are told to stop.
func (t *trip) cancel(winner *result) {
	for i, cancel := range t.cancels {
		if winner != nil && i == winner.n && winner.answer != nil && winner.answer.Stream != nil {
			continue
		}
		cancel()
	}
	t.cancels = nil
	if t.flying == 0 {
		return
	}
	left := t.flying
	t.flying = 0
	go func() {
		for range left {
			r := <-t.results
			if winner != nil && r.took > slowLoser*winner.took {
				r.u.Failed(t.f.Timer.Now())
				continue
			}
			r.u.Ended()
		}
	}()
}

func (t *trip) timeout() error {
	t.ran = t.ran || t.flying > 0
	if t.last == nil {
		t.last = problem.UpstreamTimeout.Withf("no answer in %s", t.ends.Sub(t.started))
	}
	if t.ran {
		return problem.UpstreamTimeout.Withf("no answer in %s: %w", t.ends.Sub(t.started), t.last)
	}
	return problem.DeadlineBeforeRun.Withf("no upstream took it in %s: %w", t.ends.Sub(t.started), t.last)
}

// final chooses the error for the caller. "Not run" is said only if no attempt
// may have run.
func (t *trip) final(choice error) error {
	if t.ran {
		return problem.UpstreamFailed.Withf("after %d attempts: %w", t.sent, t.last)
	}
	if t.last != nil {
		return problem.UpstreamRefused.Withf("after %d attempts: %w", t.sent, t.last).WithRetryAfter(retryAfterFull)
	}
	return choice
}

func (t *trip) log(service string, answer *Answer, err error) {
	fields := log.Fields{
		"request_id": t.req.ID,
		"route":      t.req.Route.Name,
		"service":    service,
		"for":        t.req.Organisation,
		"attempts":   t.sent,
		"of":         len(t.group.Upstreams),
		"took_ms":    t.f.Timer.Now().Sub(t.started).Milliseconds(),
	}
	outcome := "answered"
	if err != nil {
		outcome = problem.From(err).Kind.Code
		fields["error"] = err.Error()
	}
	if answer != nil {
		fields["upstream"] = answer.Upstream
		fields["status"] = answer.Status
	}
	fields["outcome"] = outcome
	t.f.Metrics.request(t.req.Route, outcome, t.f.Timer.Now().Sub(t.started))
	t.f.Journal.Decision("forward", fields)
}

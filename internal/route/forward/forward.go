package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/policy"
	"github.com/egretbend/egretbend/internal/route/suspect"
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

// sum returns the digest by which the request is known when it is sent again.
func (r *Request) sum() fingerprint.Sum {
	return fingerprint.Of(fingerprint.Parts{
		Organisation: r.Organisation,
		Method:       r.Method,
		Host:         r.Host,
		Target:       r.Target,
		Body:         r.Body,
	})
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
	// Failures is how many upstreams answered that they failed; running out of time is
	// no failure of theirs.
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
	// Crashes finds out which upstreams end under a request; nil does not.
	Crashes Crashes
	// Suspects tells which requests crash upstreams; nil suspects none.
	Suspects Suspects
}

// Crashes hears of requests that were cut before their answer was whole.
type Crashes interface {
	Cut(c crash.Cut)
}

// Suspects knows which requests crash the upstreams that run them.
type Suspects interface {
	// Judge decides about a request. It calls sum only if it knows of any crash.
	Judge(sum func() fingerprint.Sum) suspect.Verdict
	// Answered takes it that a request ran to its end. It calls sum only if it knows of any
	// crash.
	Answered(sum func() fingerprint.Sum)
}

// Counter counts requests by organisation.
type Counter interface {
	// Began counts one that is sent to an upstream; undo takes that back.
	Began(organisation string) (undo func())
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
	answer, err := t.judged(ctx)
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

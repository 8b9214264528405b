package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/departure"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
	"github.com/egretbend/egretbend/internal/route/policy"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/route/slowstart"
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
	// Organisation is the organisation on whose behalf the request is made; it may
	// be empty.
	Organisation string
	// OrganisationPriority is the rank of the organisation; 0 is the highest.
	OrganisationPriority int
	// Deadline is when the caller stops waiting; zero if unknown.
	Deadline time.Time
	// Class is the class of the request at the gate of its service.
	Class admission.Class
	// Due orders reward calls: it is when their step is due.
	Due timer.Instant
	// Regions are the regions in which the request may be served. The forwarder looks them up
	// itself, before each attempt, if it has a configuration.
	Regions residency.Regions
	// RegionOrganisation is the organisation whose regions apply to a request that is not made
	// on its behalf; empty means Organisation.
	RegionOrganisation string
	// ConfigVersion is the version of the configuration that Route is from.
	ConfigVersion uint64
}

// digest returns the digest that identifies the request when it is sent again.
func (r *Request) digest() fingerprint.Digest {
	return fingerprint.DigestOf(fingerprint.Parts{
		Organisation: r.Organisation,
		Method:       r.Method,
		Host:         r.Host,
		Target:       r.Target,
		Body:         r.Body,
	})
}

// Answer is an upstream's answer. On routes that don't stream, Body is the complete
// answer. On streaming routes whoever returns the answer to the caller must read
// Stream to its end.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream is the rest of a streaming answer; nil if Body is complete.
	Stream io.ReadCloser
	// Signature is the upstream's signature of a complete answer.
	Signature string
	// KeepAlive is how long the connection may stay idle before the upstream closes
	// it; 0 if it is closed already.
	KeepAlive time.Duration
	// Load is the load that the upstream reported, if any.
	Load     *engine.LoadReport
	Upstream string
	Attempts int
	// SentAt is when the attempt began that was answered.
	SentAt timer.Instant
	// Failures is how many upstreams answered with status 500; running out of time
	// does not count as a failure.
	Failures int
}

// Sender sends one attempt, which may take up to left. It returns an answer only if it
// is complete, or streaming, and belongs to this attempt. Its errors wrap
// engine.ErrNotSent, engine.ErrMisdirected or *engine.RefusedError if the request did
// not run, and engine.ErrIncompleteResponse or engine.ErrWrongAttempt if it may have run.
type Sender interface {
	Send(ctx context.Context, u *catalog.Upstream, req Request, left time.Duration) (*Answer, error)
}

// Forwarder sends requests to the upstreams of their route.
type Forwarder struct {
	Upstreams *catalog.Upstreams
	Sender    Sender
	Timer     timer.Service
	Journal   *journal.Journal
	Metrics   *Metrics
	// Usage counts the requests that start to run; nil counts nothing.
	Usage UsageCounter
	// CrashReporter checks whether an upstream crashed when an attempt was cut off; nil
	// disables the check.
	CrashReporter CrashReporter
	// PoisonDetector detects poison requests; nil disables the detection.
	PoisonDetector PoisonDetector
	// CrashClaims serialises the attempts of suspected requests over all instances; nil does
	// not serialise them. It needs CrashReporter and PoisonDetector.
	CrashClaims CrashClaims
	// SlowStart bounds the requests to cold upstreams; nil does not bound them.
	SlowStart *slowstart.Limiter
	// Near is the region of this instance, whose upstreams are preferred; the zero value prefers
	// none.
	Near residency.Regions
	// Admission holds the gates of the services; nil admits every request at once.
	Admission *admission.Gates
	// Config is the configuration in force, by which the regions of a request are looked up;
	// nil means that Request.Regions is up to date.
	Config *catalog.Holder
	// ConfigFields returns what is known of the configuration in force, for the log lines of
	// requests without an answer. Nil adds nothing.
	ConfigFields func() log.Fields

	// Departure tells which requests are not sent any more because this instance is leaving; nil
	// sends all.
	Departure Departure

	// gatedParts holds the gatedPart of each gate of a part of a service, by the name of the gate.
	gatedParts sync.Map
}

// CrashReporter is told about attempts whose connection was lost before the answer was
// complete.
type CrashReporter interface {
	ReportCutOff(c crash.Cut)
}

// PoisonDetector tracks which requests crash the upstreams that run them.
type PoisonDetector interface {
	// Judge returns the verdict on a request. It calls digest only if any crash is known.
	Judge(digest func() fingerprint.Digest) poison.Verdict
	// RecordAnswer records that a request ran to completion, which clears it of
	// suspicion. It calls digest only if any crash is known.
	RecordAnswer(digest func() fingerprint.Digest)
}

// CrashClaims lets one instance at a time send a request that is suspected of crashing
// upstreams.
type CrashClaims interface {
	// Acquire returns how a request may be sent to one more upstream. It may wait for a
	// fraction of the time left.
	Acquire(ctx context.Context, req poison.ClaimRequest) poison.ClaimResult
	// Publish tells other instances of the crashes during a request that is not sent again.
	Publish(ctx context.Context, req poison.ClaimRequest)
}

// Departure tells which requests a leaving instance still sends to upstreams.
type Departure interface {
	// Admit returns an error if a request must not be sent.
	Admit(r departure.Request) error
}

// UsageCounter counts requests by organisation.
type UsageCounter interface {
	// RequestStarted counts a request that is sent to an upstream; undo reverts the count.
	RequestStarted(organisation string) (undo func())
}

// Do sends a request to an upstream of its route, hedges and retries it as allowed, and
// returns the answer or the final error.
func (f *Forwarder) Do(ctx context.Context, req Request) (*Answer, error) {
	now := f.Timer.Now()
	d := &dispatch{
		f:        f,
		req:      req,
		started:  now,
		deadline: now.Add(req.TimeLimit(time.Now())),
		results:  make(chan attemptResult, policy.MaxTried),
		regions:  req.Regions,
	}
	d.applyConfiguration()
	d.service = f.Upstreams.ChooseService(req.Route, d.regions, rand.Float64())
	d.selectGroup()
	d.gate = f.gateOf(d)
	answer, err := (*Answer)(nil), d.checkRegions()
	if err == nil {
		answer, err = d.runUnlessQuarantined(ctx)
	}
	d.logOutcome(d.service, answer, err)
	return answer, err
}

// TimeLimit returns how long the request may take: until the route's timeout or the
// caller's deadline, whichever is earlier.
func (r *Request) TimeLimit(now time.Time) time.Duration {
	limit := r.Route.Timeout
	if !r.Deadline.IsZero() {
		left := r.Deadline.Sub(now)
		if limit == 0 || left < limit {
			limit = left
		}
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	return limit
}

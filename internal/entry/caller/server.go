package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/egretbend/egretbend/internal/entry/door"
	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/stream"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/route/relay"
	"github.com/egretbend/egretbend/internal/route/ticket"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// Limits of what callers send.
const (
	maxBody       = 4 << 20
	maxIDLength   = 200
	maxDeadlineMS = 3_600_000
)

// Server answers callers.
type Server struct {
	Mux       *door.Mux
	Members   *member.Table
	Holder    *configuration.Holder
	Relay     *relay.Relay
	Generator *stream.Generator
	Tickets   *ticket.Book
	Client    *wire.Client
	Timer     timer.Service
	Journal   *journal.Journal
	// Scheme is that of the instances' doors: http, or https where they have
	// certificates.
	Scheme string
}

// envelope is what the headers of a request say.
type envelope struct {
	requestID  string
	identity   identity
	caller     string
	class      limit.Class
	weight     float64
	deadline   time.Duration
	idempotent bool
	deployment configuration.Deployment
}

// open reads the headers of a request for a deployment.
func (s *Server) open(r *http.Request, deployment string) (envelope, error) {
	doc := s.Holder.Current()
	if doc == nil {
		return envelope{}, problem.NotReady.Withf("no configuration yet").WithRetryAfter(time.Second)
	}
	cfg := doc.Parsed()
	d, ok := cfg.Deployment(deployment)
	if !ok {
		return envelope{}, problem.UnknownDeployment.Withf("no deployment %q", deployment)
	}
	e := envelope{
		requestID:  r.Header.Get(relay.HeaderRequestID),
		caller:     r.Header.Get(relay.HeaderCaller),
		deployment: d,
	}
	if e.caller == "" {
		return e, problem.MissingHeader.Withf("%s is absent", relay.HeaderCaller)
	}
	if e.requestID == "" {
		e.requestID = newRequestID()
	}
	if len(e.requestID) > maxIDLength || len(e.caller) > maxIDLength {
		return e, problem.BadRequest.Withf("%s and %s: expected at most %d characters", relay.HeaderRequestID, relay.HeaderCaller, maxIDLength)
	}
	var err error
	if e.identity, err = identify(r, doc, e.requestID); err != nil {
		return e, err
	}
	return e, e.read(r, cfg)
}

func (e *envelope) read(r *http.Request, cfg *configuration.Configuration) error {
	caller := cfg.Caller(e.caller)
	e.weight = caller.Weight
	priority := caller.Priority
	if org, ok := cfg.Organisation(e.identity.organisation); ok {
		priority = org.Priority
	}
	highest, err := limit.ParseClass(priority)
	if err != nil {
		return problem.BadRequest.With(err)
	}
	e.class = highest
	if name := r.Header.Get(relay.HeaderPriority); name != "" {
		asked, err := limit.ParseClass(name)
		if err != nil {
			return problem.BadRequest.Withf("%s: %w", relay.HeaderPriority, err)
		}
		e.class = max(asked, highest)
	}
	e.deadline = time.Duration(e.deployment.TimeoutMS) * time.Millisecond
	if text := r.Header.Get(relay.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxDeadlineMS {
			return problem.BadRequest.Withf("%s: expected 1 to %d, got %q", relay.HeaderDeadline, maxDeadlineMS, text)
		}
		e.deadline = time.Duration(ms) * time.Millisecond
	}
	return e.readIdempotent(r)
}

func (e *envelope) readIdempotent(r *http.Request) error {
	e.idempotent = r.Method == http.MethodGet || r.Method == http.MethodHead
	text := r.Header.Get(relay.HeaderIdempotent)
	if text == "" {
		return nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return problem.BadRequest.Withf("%s: expected true or false, got %q", relay.HeaderIdempotent, text)
	}
	e.idempotent = v
	return nil
}

// context returns a context with the request's deadline.
func (e *envelope) context(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, e.deadline)
}

func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func clientHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

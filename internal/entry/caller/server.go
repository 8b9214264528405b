package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/egretbend/egretbend/internal/entry/httpserver"
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

// Limits of callers' requests.
const (
	maxBody       = 4 << 20   // bytes
	maxIDLength   = 200       // bytes of a request id or a caller name
	maxDeadlineMS = 3_600_000 // milliseconds, one hour
)

// Server handles the requests of callers.
type Server struct {
	Mux           *httpserver.Mux
	Members       *member.Table
	Configuration *configuration.Holder
	Relay         *relay.Relay
	Generator     *stream.Generator
	Tickets       *ticket.Issuer
	Client        *wire.Client
	Timer         timer.Service
	Journal       *journal.Journal
	// Scheme is the URL scheme of the instances: https if they have certificates,
	// otherwise http.
	Scheme string
}

// requestMetadata holds what the headers of a request state, with defaults from the
// configuration.
type requestMetadata struct {
	requestID  string
	identity   requestIdentity
	caller     string
	priority   limit.Priority
	weight     float64
	deadline   time.Duration
	idempotent bool
	deployment configuration.Deployment
}

// readMetadata reads the headers of a request to a deployment.
func (s *Server) readMetadata(r *http.Request, deployment string) (requestMetadata, error) {
	doc := s.Configuration.Current()
	if doc == nil {
		return requestMetadata{}, problem.NotReady.Withf("no configuration yet").WithRetryAfter(time.Second)
	}
	cfg := doc.Parsed()
	d, ok := cfg.Deployment(deployment)
	if !ok {
		return requestMetadata{}, problem.UnknownDeployment.Withf("deployment %q does not exist in the configuration", deployment)
	}
	meta := requestMetadata{
		requestID:  r.Header.Get(relay.HeaderRequestID),
		caller:     r.Header.Get(relay.HeaderCaller),
		deployment: d,
	}
	if meta.caller == "" {
		return meta, problem.MissingHeader.Withf("header %s is missing", relay.HeaderCaller)
	}
	if meta.requestID == "" {
		meta.requestID = newRequestID()
	}
	if len(meta.requestID) > maxIDLength || len(meta.caller) > maxIDLength {
		return meta, problem.BadRequest.Withf("%s and %s: expected at most %d characters", relay.HeaderRequestID, relay.HeaderCaller, maxIDLength)
	}
	var err error
	if meta.identity, err = identify(r, doc, meta.requestID); err != nil {
		return meta, err
	}
	return meta, meta.readLimits(r, cfg)
}

// readLimits reads the priority, the deadline and whether the request is idempotent. A
// request may lower its priority below that of its organisation or caller, not raise it.
func (m *requestMetadata) readLimits(r *http.Request, cfg *configuration.Configuration) error {
	caller := cfg.Caller(m.caller)
	m.weight = caller.Weight
	priority := caller.Priority
	if org, ok := cfg.Organisation(m.identity.organisation); ok {
		priority = org.Priority
	}
	highest, err := limit.ParsePriority(priority)
	if err != nil {
		return problem.BadRequest.With(err)
	}
	m.priority = highest
	if name := r.Header.Get(relay.HeaderPriority); name != "" {
		asked, err := limit.ParsePriority(name)
		if err != nil {
			return problem.BadRequest.Withf("%s: %w", relay.HeaderPriority, err)
		}
		m.priority = max(asked, highest)
	}
	m.deadline = time.Duration(m.deployment.TimeoutMS) * time.Millisecond
	if text := r.Header.Get(relay.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxDeadlineMS {
			return problem.BadRequest.Withf("%s: expected 1 to %d, got %q", relay.HeaderDeadline, maxDeadlineMS, text)
		}
		m.deadline = time.Duration(ms) * time.Millisecond
	}
	return m.readIdempotent(r)
}

// readIdempotent reads whether the request may be repeated. GET and HEAD requests may,
// unless the header says otherwise.
func (m *requestMetadata) readIdempotent(r *http.Request) error {
	m.idempotent = r.Method == http.MethodGet || r.Method == http.MethodHead
	text := r.Header.Get(relay.HeaderIdempotent)
	if text == "" {
		return nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return problem.BadRequest.Withf("%s: expected true or false, got %q", relay.HeaderIdempotent, text)
	}
	m.idempotent = v
	return nil
}

// context returns a child of parent with the request's deadline.
func (m *requestMetadata) context(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, m.deadline)
}

func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// clientHost returns the host part of the client's address.
func clientHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

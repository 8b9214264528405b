package relay

import (
	"net/http"

	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/limit"
)

// The headers of requests to services and of their answers.
const (
	HeaderRequestID  = "Egretbend-Request-Id"
	HeaderAttempt    = "Egretbend-Attempt"
	HeaderDeadline   = "Egretbend-Deadline-Ms"
	HeaderPriority   = "Egretbend-Priority"
	HeaderCaller     = "Egretbend-Caller"
	HeaderIdempotent = "Egretbend-Idempotent"
	HeaderTicket     = "Egretbend-Ticket"
	HeaderNextTicket = "Egretbend-Next-Ticket"
	HeaderUpstream   = "Egretbend-Upstream"
	HeaderAttempts   = "Egretbend-Attempts"
	// HeaderLoad is set by services to their load: the numbers of running and
	// waiting requests and of slots, separated by commas.
	HeaderLoad = "X-Load"
)

// Call is a caller's request to a plain service.
type Call struct {
	RequestID  string
	Caller     string
	Priority   limit.Priority
	Weight     float64
	Deployment string
	// Organisation is the organisation whose allowed regions apply; it may be empty.
	Organisation string
	Method       string
	Path         string
	Header       http.Header
	Body         []byte
	Idempotent   bool
}

// digest returns the digest that identifies the call when it is sent again.
func (c *Call) digest() fingerprint.Digest {
	return fingerprint.DigestOf(fingerprint.Parts{
		Organisation: c.Caller,
		Method:       c.Method,
		Host:         c.Deployment,
		Target:       c.Path,
		Body:         c.Body,
	})
}

// Answer is the complete answer of a service.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Upstream string
	Attempts int
}

// requestHeaders are the headers of the caller that are forwarded to the service,
// responseHeaders those of the service that are returned to the caller.
var (
	requestHeaders  = []string{"Content-Type", "Accept"}
	responseHeaders = []string{"Content-Type"}
)

// copyHeaders copies the named headers that are set.
func copyHeaders(to, from http.Header, names []string) {
	for _, name := range names {
		if v := from.Get(name); v != "" {
			to.Set(name, v)
		}
	}
}

package relay

import (
	"net/http"

	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/limit"
)

// The headers that travel with a request.
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
	// HeaderLoad is set by services: running, waiting and slots with commas.
	HeaderLoad = "X-Load"
)

// Call is a caller's request to a plain service.
type Call struct {
	RequestID  string
	Caller     string
	Class      limit.Class
	Weight     float64
	Deployment string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// sum returns the digest by which the call is known when it is sent again.
func (c *Call) sum() fingerprint.Sum {
	return fingerprint.Of(fingerprint.Parts{
		Organisation: c.Caller,
		Method:       c.Method,
		Host:         c.Deployment,
		Target:       c.Path,
		Body:         c.Body,
	})
}

// Answer is a service's whole answer.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Upstream string
	Attempts int
}

// copied are the headers of the caller that the service sees, and those of the
// service that the caller sees.
var (
	copiedIn  = []string{"Content-Type", "Accept"}
	copiedOut = []string{"Content-Type"}
)

func copyHeaders(to, from http.Header, names []string) {
	for _, name := range names {
		if v := from.Get(name); v != "" {
			to.Set(name, v)
		}
	}
}

package httpserver

import (
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"goji.io"
	"goji.io/pat"

	"github.com/egretbend/egretbend/internal/entry/budget"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/relay"
)

// Mux routes requests to the handlers of all parts and counts the requests in flight.
type Mux struct {
	*goji.Mux

	budget   *budget.Budget
	inFlight atomic.Int64
	leaving  atomic.Bool
}

// NewMux returns a Mux that answers unknown paths with a typed error. The requests of
// callers and trainers hold memory of b; nil means no bound.
func NewMux(b *budget.Budget) *Mux {
	m := &Mux{
		Mux:    goji.NewMux(),
		budget: b,
	}
	m.Use(m.countInFlight)
	m.Use(recoverPanics)
	m.Use(m.boundBuffers)
	return m
}

// HandleNotFound adds a handler that answers every other path with a not-found error. It
// must be called after all other handlers were added.
func (m *Mux) HandleNotFound() {
	m.HandleFunc(pat.New("/*"), func(w http.ResponseWriter, r *http.Request) {
		problem.Write(w, problem.NotFound.Withf("no handler for %s %s", r.Method, r.URL.Path))
	})
}

// InFlight returns the number of requests in flight.
func (m *Mux) InFlight() int64 { return m.inFlight.Load() }

// Leaving reports whether this instance is shutting down.
func (m *Mux) Leaving() bool { return m.leaving.Load() }

// countInFlight is middleware that counts the requests in flight.
func (m *Mux) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.inFlight.Add(1)
		defer m.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// boundedPaths are the prefixes of the paths of callers and trainers whose requests hold
// memory. Operators must reach an instance whose memory for buffers is full.
var boundedPaths = []string{"/v1/services/", "/v1/models/", "/v1/trainers/"}

// boundBuffers is middleware that refuses requests while the memory for buffers is full, and
// counts the bodies of the others as they are read.
func (m *Mux) boundBuffers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inPath := func(prefix string) bool { return strings.HasPrefix(r.URL.Path, prefix) }
		if m.budget == nil || !slices.ContainsFunc(boundedPaths, inPath) {
			next.ServeHTTP(w, r)
			return
		}
		lease, err := m.budget.Open(r.Context(), r.Header.Get(relay.HeaderRequestID))
		if err != nil {
			budget.Refuse(w, r, err)
			problem.Write(w, err)
			return
		}
		defer lease.Close()
		r = r.WithContext(budget.NewContext(r.Context(), lease))
		r.Body = lease.Body(r.Body)
		next.ServeHTTP(w, r)
	})
}

// recoverPanics is middleware that turns a panic in a handler into an error response.
// It passes http.ErrAbortHandler on, which aborts the connection to show the caller that
// the response is incomplete.
func recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler {
				panic(v)
			}
			problem.Write(w, problem.Internal.Withf("%v", v))
		}()
		next.ServeHTTP(w, r)
	})
}

// RequireKey returns a handler that calls next only for requests with the bearer token
// key. An empty key lets all requests through.
func RequireKey(key string, next http.HandlerFunc) http.HandlerFunc {
	if key == "" {
		return next
	}
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(token), []byte(key)) != 1 {
			problem.Write(w, problem.Unauthorized.Withf("this path needs a valid key as a bearer token"))
			return
		}
		next(w, r)
	}
}

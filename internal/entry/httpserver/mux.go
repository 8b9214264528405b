package httpserver

import (
	"crypto/subtle"
	"net/http"
	"strings"
	"sync/atomic"

	"goji.io"
	"goji.io/pat"

	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// Mux routes requests to the handlers of all parts and counts the requests in flight.
type Mux struct {
	*goji.Mux

	inFlight atomic.Int64
	leaving  atomic.Bool
}

// NewMux returns a Mux that answers unknown paths with a typed error.
func NewMux() *Mux {
	m := &Mux{
		Mux: goji.NewMux(),
	}
	m.Use(m.countInFlight)
	m.Use(recoverPanics)
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

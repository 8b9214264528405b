package door

import (
	"crypto/subtle"
	"net/http"
	"strings"
	"sync/atomic"

	"goji.io"
	"goji.io/pat"

	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// Mux routes the paths of all doors and counts the requests in flight.
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
	m.Use(m.count)
	m.Use(recoverer)
	return m
}

// HandleRest answers every other path. It is added last.
func (m *Mux) HandleRest() {
	m.HandleFunc(pat.New("/*"), func(w http.ResponseWriter, r *http.Request) {
		problem.Write(w, problem.NotFound.Withf("no door at %s %s", r.Method, r.URL.Path))
	})
}

// InFlight returns the requests that are being answered.
func (m *Mux) InFlight() int64 { return m.inFlight.Load() }

// Leaving reports whether this instance is on its way out.
func (m *Mux) Leaving() bool { return m.leaving.Load() }

func (m *Mux) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.inFlight.Add(1)
		defer m.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// recoverer turns a panic of one request into an error of that request. The
// abort of a transfer passes through: it is how a caller sees that an answer
// was cut short.
func recoverer(next http.Handler) http.Handler {
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

// WithKey lets a request through only with the bearer token key. An empty key
// lets all through.
func WithKey(key string, next http.HandlerFunc) http.HandlerFunc {
	if key == "" {
		return next
	}
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(token), []byte(key)) != 1 {
			problem.Write(w, problem.Unauthorized.Withf("this door needs a key"))
			return
		}
		next(w, r)
	}
}

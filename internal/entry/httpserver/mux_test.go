package httpserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"goji.io/pat"

	"github.com/egretbend/egretbend/internal/entry/budget"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Guards against requests of callers and trainers that are run while the memory for buffers
// is full, against bodies that are not counted or never released, and against operators
// who can't reach an instance whose memory is full.
func TestFullBuffersRefuseCallersOnly(t *testing.T) {
	is := is.New(t)
	const bound = 8000
	b := budget.New(bound, timer.Real{}, nil, nil)
	mux := NewMux(b)
	var readErr error
	read := func(w http.ResponseWriter, r *http.Request) {
		var body []byte
		if body, readErr = problem.ReadBody(w, r, 1<<20); readErr != nil {
			problem.Write(w, readErr)
			return
		}
		if strings.HasPrefix(r.URL.Path, "/v1/services/") {
			is.True(b.Usage().HeldBytes >= int64(len(body)))
		}
	}
	mux.HandleFunc(pat.New("/v1/services/*"), read)
	mux.HandleFunc(pat.New("/v1/status"), read)
	call := func(path string, size int) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, io.LimitReader(zeros{}, int64(size))))
		return w
	}
	is.Equal(call("/v1/services/s", 6000).Code, http.StatusOK)
	is.Equal(b.Usage().HeldBytes, int64(0))
	other, err := b.Open(context.Background(), "other")
	is.NoErr(err)
	is.NoErr(other.Reserve(4000))
	isRefused := func(w *httptest.ResponseRecorder) {
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Retry-After"), "1")
		var body problem.Body
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
		is.Equal(body.Code, problem.BuffersFull.Code)
		is.Equal(body.Outcome, problem.NotRun)
	}
	isRefused(call("/v1/services/s", 6000)) // while its body is read
	is.True(problem.Is(readErr, problem.BuffersFull))
	is.Equal(b.Usage().HeldBytes, int64(4000))
	is.NoErr(other.Reserve(3000))
	readErr = nil
	isRefused(call("/v1/services/s", 0)) // before any work
	is.NoErr(readErr)
	is.Equal(call("/v1/status", 6000).Code, http.StatusOK)
	other.Close()
	is.Equal(b.Usage().HeldBytes, int64(0))
	is.Equal(b.Usage().Refused, int64(2))
	is.True(!strings.Contains(call("/v1/services/s", 10).Body.String(), "buffers_full"))
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

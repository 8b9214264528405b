package wire

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that is written although its upstream may no longer receive it
// by the time that its connection is ready.
func TestWithheldRequestIsNotWritten(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	errWithheld := errors.New("withheld")
	var c Client
	defer c.CloseIdle()
	for _, reuse := range []Reuse{Pooled, Pooled, Fresh} {
		ctx := WithBeforeWrite(context.Background(), func() error { return nil })
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		is.NoErr(err)
		res, _, err := c.Do(req, reuse)
		is.NoErr(err)
		_ = res.Body.Close()

		ctx = WithBeforeWrite(context.Background(), func() error { return errWithheld })
		req, err = http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		is.NoErr(err)
		_, sent, err := c.Do(req, reuse)
		is.True(errors.Is(err, errWithheld))
		is.True(!sent)
	}
	is.Equal(received.Load(), int32(3))
}

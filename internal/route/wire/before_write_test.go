package wire

import (
	"context"
	"errors"
	"io"
	"net"
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

// Guards against a request that is written to an idle connection which a network partition may
// hold up, although it must have a connection of its own.
func TestFreshConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	var c Client
	defer c.CloseIdle()
	for _, ctx := range []context.Context{context.Background(), context.Background(), WithFreshConnection(context.Background())} {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		is.NoErr(err)
		res, _, err := c.Do(req, Pooled)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	is.Equal(opened.Load(), int32(2))
}

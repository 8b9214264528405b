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
	"time"

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

// Guards against the unnoticed end of a connection that was opened for a request which got another
// one first.
func TestEndOfUnusedConnectionIsNoticed(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	var c Client
	c.once.Do(c.configureTransports)
	lost := 0
	ctx := WithOnIdleLost(context.Background(), func(time.Duration) { lost++ })
	for _, closed := range []bool{true, false} {
		nc, err := c.dial(ctx, "tcp", listener.Addr().String())
		is.NoErr(err)
		accepted, err := listener.Accept()
		is.NoErr(err)
		defer accepted.Close()
		if closed {
			is.NoErr(accepted.Close())
		} else {
			is.NoErr(nc.Close()) // by this side
		}
		_, err = nc.Read(make([]byte, 1))
		is.True(err != nil)
		is.Equal(lost, 1)
	}
}

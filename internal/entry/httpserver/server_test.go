package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/descriptor"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Guards against limits that ignore a change of the configuration, and against a change
// that affects open connections. New connections get the limits of the configuration in
// force; an open connection keeps the limits under which it was opened.
func TestLimitsFollowConfiguration(t *testing.T) {
	is := is.New(t)
	config := &catalog.Holder{}
	server := &Server{
		Config:  config,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(ln) }()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
		return c
	}
	sendRequest := func(c net.Conn, header int) (int, error) {
		if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", header)); err != nil {
			return 0, err
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, err
		}
		return res.StatusCode, nil
	}
	existing := dial()
	status, err := sendRequest(existing, 20_000)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	config.Update(catalog.Configuration{
		Version: 1,
		Limits: catalog.Limits{
			HeaderBytes:   4_000,
			HeaderTimeout: 100 * time.Millisecond,
			IdleTimeout:   150 * time.Millisecond,
		},
	}.WithIndex())
	status, err = sendRequest(dial(), 20_000)
	is.NoErr(err)
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	idle := dial()
	status, err = sendRequest(idle, 1)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	_, err = idle.Read(make([]byte, 1))
	is.True(err != nil) // closed after the idle timeout
	slow := dial()
	_, err = slow.Write([]byte("GET / HT"))
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(slow), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadRequest) // the rest of the headers never arrived
	status, err = sendRequest(existing, 20_000)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.NoErr(server.Shutdown(context.Background()))
	is.True(errors.Is(<-serveErr, http.ErrServerClosed))
}

// Guards against a request that is still in progress when the server closes its connections, and whose
// client gets no answer at all.
func TestRequestsInProgressAreAnsweredBeforeClose(t *testing.T) {
	is := is.New(t)
	ctx, end := context.WithCancel(context.Background())
	arrived := make(chan struct{})
	server := &Server{
		Config:      &catalog.Holder{},
		BaseContext: ctx,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-r.Context().Done()
			w.WriteHeader(http.StatusGatewayTimeout)
		}),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(ln) }()
	status := make(chan int, 1)
	go func() {
		res, err := http.Get("http://" + ln.Addr().String())
		if err != nil {
			status <- 0
			return
		}
		_ = res.Body.Close()
		status <- res.StatusCode
	}()
	<-arrived
	end()
	is.NoErr(server.Shutdown(context.Background()))
	is.Equal(<-status, http.StatusGatewayTimeout)
}

// Guards against a press of clients that takes the descriptors of the connections to upstreams, the store and
// other instances, and against connections that are held open idle while new clients are refused.
func TestConnectionsOfClientsAreBounded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	server := &Server{
		Config:      &catalog.Holder{},
		Descriptors: descriptor.New(64),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-release
			}
			w.WriteHeader(http.StatusOK)
		}),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(ln) }()
	send := func(path string) net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		return c
	}
	status := func(c net.Conn) int {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		return res.StatusCode
	}
	bound := 0
	for server.Descriptors.Take(descriptor.Callers) {
		bound++
	}
	for range bound {
		server.Descriptors.Return(descriptor.Callers)
	}
	for range 2 * bound {
		c := send("/")
		defer c.Close()
		is.Equal(status(c), http.StatusOK) // an idle one makes room
	}
	var slow []net.Conn
	for range bound {
		slow = append(slow, send("/slow"))
	}
	held := func(n int) {
		t.Helper()
		is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool { return server.Descriptors.Held(descriptor.Callers) == n }))
	}
	held(bound)
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.idle) == 0
	}))
	refused := send("/")
	is.Equal(status(refused), 0) // closed at once
	close(release)
	for _, c := range slow {
		is.Equal(status(c), http.StatusOK)
		_ = c.Close()
	}
	held(0)
	c := send("/")
	is.Equal(status(c), http.StatusOK)
	_ = c.Close()
	is.NoErr(server.Shutdown(context.Background()))
	held(0)
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.idle)+len(server.evicted) == 0
	}))
}

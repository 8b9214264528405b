package wire_test

import (
	"bufio"
	"bytes"
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
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/route/wire"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// behaviour is what the test upstream does with its next connection or request.
type behaviour string

const (
	answer      behaviour = "answer"
	answerClose behaviour = "answer_then_close"
	closeAtOnce behaviour = "close_at_once"
	readSome    behaviour = "read_some_then_reset"
	readAll     behaviour = "read_all_then_reset"
	cutShort    behaviour = "cut_short"
	refuse      behaviour = "refuse"
)

// upstream is a TCP server that counts the requests of which at least one byte
// arrived.
type upstream struct {
	ln       net.Listener
	next     atomic.Pointer[behaviour]
	received atomic.Int64
}

func newUpstream() (*upstream, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		ln: ln,
	}
	go u.serve()
	return u, nil
}

func (u *upstream) serve() {
	for {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}
		go u.conn(c)
	}
}

func (u *upstream) conn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if *u.next.Load() == closeAtOnce {
			return
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		u.received.Add(1)
		if *u.next.Load() == readSome {
			reset(c)
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		switch *u.next.Load() {
		case readAll:
			reset(c)
			return
		case cutShort:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
			return
		case answerClose:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// reset makes the connection send a TCP reset when it is closed.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// sender sends a request and reports whether any byte of it may have been sent.
type sender func(req *http.Request) (res *http.Response, sent bool, err error)

// checkSentReport runs requests against an upstream with random behaviours and
// compares what the sender reports with the upstream's own count of requests of
// which a byte arrived.
func checkSentReport(newSender func() sender) func(*rapid.T) {
	return func(t *rapid.T) {
		u, err := newUpstream()
		if err != nil {
			t.Fatalf("listen: %v", err)
		}
		defer u.ln.Close()
		send := newSender()
		n := rapid.IntRange(1, 6).Draw(t, "requests")
		for range n {
			b := rapid.SampledFrom([]behaviour{answer, answerClose, closeAtOnce, readSome, readAll, cutShort, refuse}).Draw(t, "behaviour")
			before := u.received.Load()
			address := u.ln.Addr().String()
			if b == refuse {
				address = "127.0.0.1:1"
			}
			u.next.Store(&b)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", bytes.NewReader([]byte("request body")))
			res, sent, err := send(req)
			if err == nil {
				_, err = io.ReadAll(res.Body)
				res.Body.Close()
			}
			cancel()
			arrived := u.received.Load() - before
			if err != nil && !sent && arrived > 0 {
				t.Fatalf("reported as not sent, but a byte arrived (%s)", b)
			}
			if arrived > 1 {
				t.Fatalf("the request arrived %d times (%s)", arrived, b)
			}
			if b == cutShort && err == nil {
				t.Fatalf("a truncated answer was accepted as complete")
			}
		}
	}
}

// Guards against a request that is reported as not sent although a byte of it
// arrived: the caller would repeat it and it could run twice. The upstream resets
// the connection before, during or after it reads a request, closes an idle
// connection just when the next request is sent, or truncates its answer.
func TestNotSentMeansNoByteArrived(t *testing.T) {
	for _, reuse := range []wire.Reuse{wire.Pooled, wire.Fresh} {
		property.CheckN(t, 150, checkSentReport(func() sender {
			c := &wire.Client{}
			return func(req *http.Request) (*http.Response, bool, error) { return c.Do(req, reuse) }
		}))
	}
}

// Shows that checkSentReport detects a wrong report: a sender that takes every error
// of the standard transport for "not sent" is wrong as soon as an upstream resets the
// connection after reading.
func TestErrorBeforeAnswerDoesNotMeanNotSent(t *testing.T) {
	property.CheckFails(t, checkSentReport(func() sender {
		c := &http.Transport{}
		return func(req *http.Request) (*http.Response, bool, error) {
			res, err := c.RoundTrip(req)
			return res, res != nil, err
		}
	}))
}

// Guards against requests that are repeated silently: the standard transport repeats
// a request with an Idempotency-Key header when a reused connection breaks. Client
// must not, whatever the headers.
func TestClientDoesNotRepeatRequests(t *testing.T) {
	is := is.New(t)
	u, err := newUpstream()
	is.NoErr(err)
	defer u.ln.Close()
	c := &wire.Client{}
	for _, b := range []behaviour{answer, readAll} {
		u.next.Store(&b)
		before := u.received.Load()
		req, _ := http.NewRequest(http.MethodPost, "http://"+u.ln.Addr().String(), bytes.NewReader([]byte("x")))
		req.Header.Set("Idempotency-Key", "1")
		res, sent, err := c.Do(req, wire.Pooled)
		if b == answer {
			is.NoErr(err)
			_, _ = io.ReadAll(res.Body)
			res.Body.Close()
			continue
		}
		is.True(err != nil)
		is.True(sent)
		is.Equal(u.received.Load()-before, int64(1)) // the request arrived once
	}
}

// Guards against reuse of the connection of a request that was cancelled or timed out
// while the upstream had it: the late answer would be taken for the answer to the next
// request.
func TestConnectionOfCancelledRequestIsClosed(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	entered := make(chan struct{})
	var conns atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				close(entered)
				<-release
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				conns.Add(1)
			}
		},
	}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	c := &wire.Client{}
	ctx, cancel := context.WithCancel(context.Background())
	slow, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ln.Addr().String()+"/slow", nil)
	failed := make(chan error, 1)
	go func() {
		_, _, err := c.Do(slow, wire.Pooled)
		failed <- err
	}()
	<-entered
	cancel()
	is.True(errors.Is(<-failed, context.Canceled))
	close(release)
	next, _ := http.NewRequest(http.MethodGet, "http://"+ln.Addr().String()+"/next", nil)
	res, _, err := c.Do(next, wire.Pooled)
	is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(string(body), "/next")
	is.Equal(conns.Load(), int64(2))
}

// Guards against a request over TLS that is reported as not sent although it arrived:
// instances talk over TLS, where the bytes written can't be counted.
func TestFailedTLSRequestMayHaveBeenSent(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	c := &wire.Client{
		TLS: server.Client().Transport.(*http.Transport).TLSClientConfig,
	}
	req, _ := http.NewRequest(http.MethodPost, server.URL, bytes.NewReader([]byte("request body")))
	_, sent, err := c.Do(req, wire.Fresh)
	is.True(err != nil)
	is.True(sent)
}

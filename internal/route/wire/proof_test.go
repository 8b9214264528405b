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
	"github.com/egretbend/egretbend/internal/standin/proof"
)

// behaviour is what an upstream does with its next connection.
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

// upstream is a raw server that notes whether a byte of a request reached it.
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

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// sender sends a request and says whether it may have left.
type sender func(req *http.Request) (res *http.Response, sent bool, err error)

// told drives an upstream through random behaviours. The oracle is the
// upstream's own count of requests of which a byte arrived.
func told(newSender func() sender) func(*rapid.T) {
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
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", bytes.NewReader([]byte("one hide cut")))
			res, sent, err := send(req)
			if err == nil {
				_, err = io.ReadAll(res.Body)
				res.Body.Close()
			}
			cancel()
			got := u.received.Load() - before
			if err != nil && !sent && got > 0 {
				t.Fatalf("told not sent, but a byte arrived (%s)", b)
			}
			if got > 1 {
				t.Fatalf("the request arrived %d times (%s)", got, b)
			}
			if b == cutShort && err == nil {
				t.Fatalf("an answer that was cut short was taken for a whole one")
			}
		}
	}
}

// An upstream resets the connection before, during or after it reads a
// request, closes an idle connection just when the next request is sent, or
// cuts its answer short. A caller who is told "not run" though a byte arrived
// would ask again, and a hide would be cut twice.
func TestNotSentIsTrue(t *testing.T) {
	for _, reuse := range []wire.Reuse{wire.Shared, wire.Fresh} {
		proof.CheckN(t, 150, told(func() sender {
			c := &wire.Client{}
			return func(req *http.Request) (*http.Response, bool, error) { return c.Do(req, reuse) }
		}))
	}
}

// A caller of the standard client that takes every error before an answer for
// "not sent" is wrong as soon as an upstream resets after reading.
func TestErrorBeforeAnswerIsNotNotSent(t *testing.T) {
	proof.Refute(t, told(func() sender {
		c := &http.Transport{}
		return func(req *http.Request) (*http.Response, bool, error) {
			res, err := c.RoundTrip(req)
			return res, res != nil, err
		}
	}))
}

// The standard client silently repeats a request with an Idempotency-Key when
// a kept connection breaks. The client below must not, whatever the headers.
func TestNoSilentRepeat(t *testing.T) {
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
		res, sent, err := c.Do(req, wire.Shared)
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

// A deadline passes while the upstream has the request. The connection must
// not be used for another request, or its late answer would be taken for the
// answer to that one.
func TestGivenUpConnectionIsClosed(t *testing.T) {
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
		_, _, err := c.Do(slow, wire.Shared)
		failed <- err
	}()
	<-entered
	cancel()
	is.True(errors.Is(<-failed, context.Canceled))
	close(release)
	next, _ := http.NewRequest(http.MethodGet, "http://"+ln.Addr().String()+"/next", nil)
	res, _, err := c.Do(next, wire.Shared)
	is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(string(body), "/next")
	is.Equal(conns.Load(), int64(2))
}

// Instances talk over TLS, which hides what was written. A request of which
// nothing can be counted must not be told as "not sent".
func TestHiddenConnectionMayHaveSent(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	c := &wire.Client{
		TLS: server.Client().Transport.(*http.Transport).TLSClientConfig,
	}
	req, _ := http.NewRequest(http.MethodPost, server.URL, bytes.NewReader([]byte("one hide cut")))
	_, sent, err := c.Do(req, wire.Fresh)
	is.True(err != nil)
	is.True(sent)
}

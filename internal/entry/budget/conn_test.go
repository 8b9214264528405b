package budget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// connectedPair returns the wrapped server's end of a TCP connection and the client's end.
func connectedPair(t *testing.T, b *Budget) (*Conn, net.Conn) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	client, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	server, err := b.Listener(ln).Accept()
	is.NoErr(err)
	is.NoErr(ln.Close())
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return server.(*Conn), client
}

const largeResponse = 16 << 20 // bytes, above what the kernel holds for a connection

// Guards against a write that blocks for ever because its client reads nothing, and
// against a response that the client takes for complete after that.
func TestStalledWriteIsCut(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	j, err := journal.Open(&out, "info", "i")
	is.NoErr(err)
	clock := &timer.Manual{}
	b := New(0, clock, j, nil)
	server, client := connectedPair(t, b)
	written := make(chan error, 1)
	go func() {
		_, err := server.Write(make([]byte, largeResponse))
		written <- err
		_ = server.Close()
	}()
	stop := clock.Run(stallTimeout, writeSlice)
	defer stop()
	is.True(errors.Is(<-written, errStalled))
	_, err = server.Write([]byte("more"))
	is.True(errors.Is(err, errCut))
	n, err := io.Copy(io.Discard, client)
	is.True(n < largeResponse)
	is.True(err != nil) // reset, not the end of the response
	is.Equal(b.Usage().Cut, int64(1))
	is.NoErr(j.Flush())
	is.True(strings.Contains(out.String(), "reason=stalled"))
}

// Guards against a cut of a client that reads slowly. It must get the whole response, also
// if the write blocks many times.
func TestSlowReaderGetsResponse(t *testing.T) {
	is := is.New(t)
	b := New(0, timer.Real{}, nil, nil)
	server, client := connectedPair(t, b)
	written := make(chan error, 1)
	go func() {
		_, err := server.Write(make([]byte, largeResponse))
		written <- err
		_ = server.Close()
	}()
	read := 0
	buffer := make([]byte, 512<<10)
	for {
		n, err := client.Read(buffer)
		read += n
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		timer.Wait(timer.Real{}, 20*time.Millisecond, nil)
	}
	is.NoErr(<-written)
	is.Equal(read, largeResponse)
	is.Equal(b.Usage().Cut, int64(0))
}

// Guards against a lease that does not find its connection when the server speaks TLS, or
// when the connection carries its second request: such a holder could not be cut.
func TestLeaseFindsConnection(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	b := New(testLimit, clock, nil, nil)
	open := make(chan *Lease)
	proceed := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		l, err := b.Open(r.Context(), "r")
		if err != nil {
			t.Error(err)
		}
		defer l.Close()
		open <- l
		<-proceed
	}))
	server.Listener = b.Listener(server.Listener)
	server.Config.ConnContext = ConnContext
	server.StartTLS()
	defer server.Close()
	results := make(chan error)
	post := func() *Lease {
		go func() {
			// The client would repeat a GET by itself after the cut.
			res, err := server.Client().Post(server.URL, "text/plain", nil)
			if err == nil {
				_ = res.Body.Close()
			}
			results <- err
		}()
		return <-open
	}
	first := post()
	is.True(first.conn != nil)
	is.True(first.conn.lease.Load() == first)
	proceed <- struct{}{}
	is.NoErr(<-results)
	second := post()
	is.True(second.conn == first.conn) // it was kept
	is.True(second.conn.lease.Load() == second)
	is.NoErr(second.Await(doneContext(), testLimit))
	second.startWait()
	clock.Advance(minIdle)
	_, err := b.Open(context.Background(), "other")
	is.True(problem.Is(err, problem.BuffersFull))
	proceed <- struct{}{}
	is.True(<-results != nil) // its connection was cut
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool { return b.Usage().HeldBytes == 0 }))
}

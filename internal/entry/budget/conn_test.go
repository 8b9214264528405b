package budget

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/journal"
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

package peer

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"
)

// exhaustedListener fails its first calls of Accept as in a process without free descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against an instance that ran out of descriptors once and is not called by others any more,
// and whose other parts ended with the listener.
func TestServerOutlivesExhaustedDescriptors(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	exhausted := &exhaustedListener{Listener: ln}
	exhausted.failures.Store(3)
	var s Server
	is.NoErr(s.Register("Echo", &echo{}))
	var parts tomb.Tomb
	parts.Go(func() error { return s.Serve(&parts, exhausted) })
	var c Client
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var reply int
	is.NoErr(c.Call(ctx, ln.Addr().String(), "Echo.Number", 7, &reply))
	is.Equal(reply, 7)
	is.True(parts.Alive())
	parts.Kill(nil)
	is.NoErr(parts.Wait())
}

// echo is a receiver of calls.
type echo struct{}

// Number returns its argument.
func (*echo) Number(n int, reply *int) error {
	*reply = n
	return nil
}

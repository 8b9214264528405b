package dial

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A call is written into a connection whose peer receives nothing, its deadline passes, and
// the connection is closed. Guards against a kernel that keeps the bytes and delivers the
// call when the peer receives again. The peer's buffers are full, so that the call's last bytes
// are held up in the kernel of the caller, as they are in a partition.
func TestClosedConnectionDeliversNothingLater(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	d := Dialer{UserTimeout: time.Minute}
	nc, err := d.DialContext(context.Background(), "tcp", ln.Addr().String())
	is.NoErr(err)
	peer, err := ln.Accept()
	is.NoErr(err)
	defer peer.Close()
	is.NoErr(peer.(*net.TCPConn).SetReadBuffer(16 << 10))
	is.NoErr(nc.(*conn).Conn.(*net.TCPConn).SetWriteBuffer(1 << 20))
	is.NoErr(nc.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)))
	written, err := nc.Write(make([]byte, 64<<20))
	is.True(err != nil) // the buffers are full
	is.NoErr(nc.Close())
	received, err := io.Copy(io.Discard, peer)
	is.True(err != nil)                // reset, not an ordinary end
	is.True(received < int64(written)) // bytes were held up, and dropped
}

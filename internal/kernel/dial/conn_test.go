package dial

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// connect returns both ends of a connection that was opened by a Dialer.
func connect(t *testing.T) (nc net.Conn, peer *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	nc, err = new(Dialer).DialContext(context.Background(), "tcp", ln.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = nc.Close() })
	accepted, err := ln.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = accepted.Close() })
	return nc, accepted.(*net.TCPConn)
}

// writeUntilError writes until the connection takes nothing more.
func writeUntilError(nc net.Conn) error {
	for {
		if _, err := nc.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// Guards against a response that ends with its connection and is taken for complete although the
// connection was reset, because the write of the request learned of the reset first.
func TestResetThatAWriteLearnsOfIsNotAnOrderlyEnd(t *testing.T) {
	is := is.New(t)
	nc, peer := connect(t)
	_, err := io.WriteString(peer, "part")
	is.NoErr(err)
	is.NoErr(peer.SetLinger(0))
	is.NoErr(peer.Close())
	is.True(errors.Is(writeUntilError(nc), syscall.ECONNRESET))
	received, err := io.ReadAll(nc)
	is.True(err != nil)
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.Equal(string(received), "part")
}

// Guards against a complete response that is rejected because its upstream closes the connection in
// order and then resets it, as it does not want the rest of the request.
func TestResetAfterAnOrderlyEndIsIgnored(t *testing.T) {
	is := is.New(t)
	nc, peer := connect(t)
	_, err := io.WriteString(peer, "whole")
	is.NoErr(err)
	is.NoErr(peer.CloseWrite())
	is.NoErr(peer.SetLinger(0))
	is.NoErr(peer.Close())
	is.True(writeUntilError(nc) != nil)
	received, err := io.ReadAll(nc)
	is.NoErr(err)
	is.Equal(string(received), "whole")
}

// Guards against a read that never returns because a write waits for a peer that has closed its
// side and receives nothing.
func TestOrderlyEndDoesNotWaitForAWrite(t *testing.T) {
	is := is.New(t)
	nc, peer := connect(t)
	written := make(chan error, 1)
	go func() { written <- writeUntilError(nc) }()
	_, err := io.WriteString(peer, "whole")
	is.NoErr(err)
	is.NoErr(peer.CloseWrite())
	received, err := io.ReadAll(nc)
	is.NoErr(err)
	is.Equal(string(received), "whole")
	is.NoErr(nc.Close())
	is.True(<-written != nil)
}

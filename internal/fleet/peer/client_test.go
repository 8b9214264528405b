package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// An instance becomes unreachable while another one sends it a large batch: the
// buffers of the connection fill up and the write blocks. Without a write
// timeout, every later call to that address waits behind it forever, and an
// instance whose calls hang in this way gets no more configuration changes.
func TestCallsEndWhenAWriteBlocks(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- nc // never read, and never closed
		}
	}()
	c := &Client{}
	defer c.Close()
	large := make([]byte, 8<<20)
	ended := make(chan error, 2)
	call := func(args any) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		var reply int
		ended <- c.Call(ctx, ln.Addr().String(), "Any.Method", args, &reply)
	}
	go call(&large)
	go call(&large)
	limit := timer.Real{}.Once(20 * time.Second)
	defer limit.Close()
	for range 2 {
		select {
		case err := <-ended:
			is.True(err != nil) // nobody answers
		case <-limit.C:
			t.Fatal("a call did not end")
		}
	}
}

// A call's deadline passes while it is written to an instance that reads nothing. Guards
// against a kernel that delivers the call later, for example the submission of a batch that
// was accepted elsewhere since.
func TestCallIsResetAtItsDeadline(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c := &Client{}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	large := make([]byte, 8<<20)
	var reply int
	err = c.Call(ctx, ln.Addr().String(), "Any.Method", &large, &reply)
	is.True(errors.Is(err, context.DeadlineExceeded))
	nc, err := ln.Accept()
	is.NoErr(err)
	defer nc.Close()
	_, err = io.Copy(io.Discard, nc)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// An instance restarts while its peers keep connections to its earlier process.
// If the first call over such a connection fails, a batch that is submitted to
// the instance runs at one of the smallest instances instead, and its step is
// late.
func TestFirstCallAfterPeerRestartSucceeds(t *testing.T) {
	is := is.New(t)
	serve := func(address string) (string, *tomb.Tomb) {
		s := &Server{}
		is.NoErr(s.Register("Test", pingReceiver{}))
		ln, err := net.Listen("tcp", address)
		is.NoErr(err)
		tb := &tomb.Tomb{}
		tb.Go(func() error { return s.Serve(tb, ln) })
		return ln.Addr().String(), tb
	}
	c := &Client{}
	defer c.Close()
	call := func(address string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var reply string
		return c.Call(ctx, address, "Test.Ping", 1, &reply)
	}
	address, serverTomb := serve("127.0.0.1:0")
	is.NoErr(call(address))
	serverTomb.Kill(nil)
	is.NoErr(serverTomb.Wait())
	_, serverTomb = serve(address)
	timer.Wait(timer.Real{}, 20*time.Millisecond, nil) // the client sees the connection end
	is.NoErr(call(address))
	serverTomb.Kill(nil)
	is.NoErr(serverTomb.Wait())
	is.True(call(address) != nil) // nobody is there
}

package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// An instance is cut off while another one sends it a large batch: the
// connection's buffers fill up, and the write waits for a reader that never
// comes. Every later call to that address waited behind it, without end; such
// an instance took no change of the configuration any more.
func TestCallsEndThoughAWriteIsStuck(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	held := make(chan net.Conn, 8)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			held <- nc // never read, and never closed
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

// An instance has started again. Its peers held connections to its earlier life,
// and the first call over each failed: a batch that was brought to it ran at one
// of the smallest instances instead, and its step was late.
func TestFirstCallAfterARestartArrives(t *testing.T) {
	is := is.New(t)
	serve := func(address string) (string, *tomb.Tomb) {
		s := &Server{}
		is.NoErr(s.Register("Test", answering{}))
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
	address, life := serve("127.0.0.1:0")
	is.NoErr(call(address))
	life.Kill(nil)
	is.NoErr(life.Wait())
	_, life = serve(address)
	timer.Wait(timer.Real{}, 20*time.Millisecond, nil) // the client hears of the end
	is.NoErr(call(address))
	life.Kill(nil)
	is.NoErr(life.Wait())
	is.True(call(address) != nil) // nobody is there
}

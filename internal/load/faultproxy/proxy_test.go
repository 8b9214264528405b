package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEchoServer starts a TCP echo server and returns its address.
func startEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// receivesByte reports whether a byte arrives before timeout.
func receivesByte(c net.Conn, timeout time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// Guards against a proxy that fails in another way than a network does: the
// blackhole states must not close connections, and the held bytes must arrive when
// the proxy is healthy again; a reset must break open connections and let new ones
// work.
func TestProxyStates(t *testing.T) {
	is := is.New(t)
	l, err := Listen(startEchoServer(t))
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Address())
	is.NoErr(err)
	send := func() {
		_, err := c.Write([]byte("x"))
		is.NoErr(err)
	}
	send()
	is.True(receivesByte(c, time.Second))
	for _, s := range []State{Blackhole, BlackholeRequests, BlackholeResponses} {
		l.SetState(s)
		send()
		is.True(!receivesByte(c, 50*time.Millisecond))
		l.SetState(Healthy)
		is.True(receivesByte(c, time.Second))
	}
	l.SetState(Slow)
	began := time.Now()
	send()
	is.True(receivesByte(c, time.Second))
	is.True(time.Since(began) >= slowDelay)
	l.SetState(Healthy)
	l.ResetConnections()
	is.True(!receivesByte(c, time.Second))
	c, err = net.Dial("tcp", l.Address())
	is.NoErr(err)
	send()
	is.True(receivesByte(c, time.Second))
	l.SetState(Refusing)
	is.True(!receivesByte(c, time.Second))
	is.Equal(Refusing.String(), "shut")
	is.Equal(State(99).String(), "unknown")
}

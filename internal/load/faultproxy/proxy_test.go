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
	p, err := Listen(startEchoServer(t))
	is.NoErr(err)
	defer p.Close()
	c, err := net.Dial("tcp", p.Address())
	is.NoErr(err)
	send := func() {
		_, err := c.Write([]byte("x"))
		is.NoErr(err)
	}
	send()
	is.True(receivesByte(c, time.Second))
	for _, s := range []State{Blackhole, BlackholeRequests, BlackholeResponses} {
		p.SetState(s)
		send()
		is.True(!receivesByte(c, 50*time.Millisecond))
		p.SetState(Healthy)
		is.True(receivesByte(c, time.Second))
	}
	p.SetState(Slow)
	began := time.Now()
	send()
	is.True(receivesByte(c, time.Second))
	is.True(time.Since(began) >= slowDelay)
	p.SetState(Healthy)
	p.ResetConnections()
	is.True(!receivesByte(c, time.Second))
	c, err = net.Dial("tcp", p.Address())
	is.NoErr(err)
	send()
	is.True(receivesByte(c, time.Second))
	p.SetState(Refusing)
	is.True(!receivesByte(c, time.Second))
	is.Equal(Refusing.String(), "shut")
	is.Equal(State(99).String(), "unknown")
}

// Guards against silent connections that are closed, that come back, or that silence new ones.
func TestSilencedConnectionsStaySilent(t *testing.T) {
	is := is.New(t)
	p, err := Listen(startEchoServer(t))
	is.NoErr(err)
	defer p.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Address())
		is.NoErr(err)
		_, err = c.Write([]byte("x"))
		is.NoErr(err)
		is.True(receivesByte(c, 5*time.Second))
		return c
	}
	silent := dial()
	p.SilenceConnections()
	_, err = silent.Write([]byte("x"))
	is.NoErr(err)
	is.True(!receivesByte(silent, 50*time.Millisecond))
	_ = dial()
	p.SetState(Healthy)
	is.True(!receivesByte(silent, 50*time.Millisecond))
}

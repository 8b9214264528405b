package link

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo answers each byte with itself.
func echo(t *testing.T) string {
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

// answered reports whether a byte comes back within a time.
func answered(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// A partition looks like silence: nothing is closed, and what was held up arrives
// when it ends. A reset breaks what is open, and new connections work.
func TestLink(t *testing.T) {
	is := is.New(t)
	l, err := Open(echo(t))
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Address())
	is.NoErr(err)
	send := func() {
		_, err := c.Write([]byte("x"))
		is.NoErr(err)
	}
	send()
	is.True(answered(c, time.Second))
	for _, s := range []State{Silent, SilentOut, SilentBack} {
		l.Set(s)
		send()
		is.True(!answered(c, 50*time.Millisecond))
		l.Set(Whole)
		is.True(answered(c, time.Second))
	}
	l.Set(Slow)
	began := time.Now()
	send()
	is.True(answered(c, time.Second))
	is.True(time.Since(began) >= slowDelay)
	l.Set(Whole)
	l.Reset()
	is.True(!answered(c, time.Second))
	c, err = net.Dial("tcp", l.Address())
	is.NoErr(err)
	send()
	is.True(answered(c, time.Second))
	l.Set(Shut)
	is.True(!answered(c, time.Second))
	is.Equal(Shut.String(), "shut")
	is.Equal(State(99).String(), "unknown")
}

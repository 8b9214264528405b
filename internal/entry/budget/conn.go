package budget

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stallTimeout is how long a write to a caller may make no progress.
	stallTimeout = 5 * time.Second
	// writeSlice is how often a write that blocks is looked at.
	writeSlice = 250 * time.Millisecond
	// sendBuffer is the size that is asked of the kernel for the data that it holds of
	// a connection. The kernel doubles it, and would take up to 4 MiB by itself, which
	// counts as memory of the instance as well.
	sendBuffer = 256 << 10
)

// Errors of connections that were cut.
var (
	errCut     = errors.New("the connection was cut to make room")
	errStalled = errors.New("the caller reads nothing")
)

// Conn is a caller's connection. A cut connection is reset, so that what was written of
// a response never looks complete.
type Conn struct {
	net.Conn

	budget *Budget
	// lease is the lease of the request in progress.
	lease  atomic.Pointer[Lease]
	broken atomic.Bool
}

// connKey is the context key of a connection.
type connKey struct{}

// Wrap returns a Conn for an accepted connection. With a nil Budget it returns c.
func (b *Budget) Wrap(c net.Conn) net.Conn {
	if b == nil {
		return c
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	return &Conn{
		Conn:   c,
		budget: b,
	}
}

// Listener returns a listener that wraps the connections of ln.
func (b *Budget) Listener(ln net.Listener) net.Listener {
	return &listener{
		Listener: ln,
		budget:   b,
	}
}

type listener struct {
	net.Listener
	budget *Budget
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.budget.Wrap(c), nil
}

// ConnContext is for http.Server.ConnContext. It lets Open find the connection of a
// request.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn()
	}
	if conn, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// cut breaks the connection. It does not block: reads and writes in progress end, and
// the server closes the connection after them.
func (c *Conn) cut() {
	if c.broken.Swap(true) {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.SetDeadline(time.Unix(1, 0))
}

// CloseWrite closes the sending side. The server calls it before it closes a connection
// whose request it did not read to the end, so that the client still gets the response.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, errCut
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. A write that makes no progress for stallTimeout fails and
// breaks the connection.
func (c *Conn) Write(p []byte) (int, error) {
	written, err := c.writeSlice(p)
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return written, err
	}
	lease := c.lease.Load()
	lease.startWait()
	defer lease.endWait()
	last := c.budget.timer.Now()
	queued := c.queued()
	for {
		n, err := c.writeSlice(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now, before := c.budget.timer.Now(), queued
		queued = c.queued()
		// The kernel accepts more data only when much of its buffer is free. What the
		// caller acknowledged is progress before that.
		if moved := max(n, before+n-queued); moved > 0 {
			last = now
			lease.progress(int64(moved))
		}
		if idle := now.Sub(last); idle >= stallTimeout {
			c.cut()
			c.logStall(lease, idle)
			return written, errStalled
		}
	}
}

// writeSlice writes p until writeSlice has passed.
func (c *Conn) writeSlice(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, errCut
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeSlice))
	return c.Conn.Write(p)
}

// queued returns the bytes of the connection that the kernel holds and the caller has
// not acknowledged, or 0 if that is unknown.
func (c *Conn) queued() int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n
}

// logStall logs that the connection is cut because its caller reads nothing.
func (c *Conn) logStall(lease *Lease, idle time.Duration) {
	v := victim{
		idle:   idle,
		reason: "stalled",
	}
	if lease != nil {
		v.id = lease.id
		c.budget.mu.Lock()
		v.bytes = lease.bytes
		c.budget.mu.Unlock()
	}
	c.budget.logCuts([]victim{v})
}

package wire

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/egretbend/egretbend/internal/kernel/dial"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("the connection is closed for writing: its request was abandoned")

// conn counts the bytes written to a connection and can be sealed, after which
// every write fails. Closing it resets it, so that the kernel delivers nothing of an
// abandoned request later.
type conn struct {
	net.Conn
	// deliveryTimeout is the TCP_USER_TIMEOUT of the connection, which only the request
	// that the connection was given to changes.
	deliveryTimeout time.Duration
	// onClose is called when the connection is closed; it may be nil.
	onClose func()
	idle    idleState
	head    headCheck
	// reading is set during a read, closed once the connection is closed.
	reading, closed atomic.Bool

	mu      sync.Mutex
	written uint64
	sealed  bool
}

// idleState tells whether a connection is idle. Its zero value is that of one that is not.
type idleState struct {
	mu sync.Mutex
	// user is the last request that the connection was given to.
	user *connTracker
	// since is when that request returned the connection; it is zero before.
	since time.Time
}

// use records that the connection was given to a request.
func (s *idleState) use(t *connTracker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.user, s.since = t, time.Time{}
}

// returned records that a request returned the connection, unless another one has it already.
func (s *idleState) returned(t *connTracker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.user == t {
		s.since = time.Now()
	}
}

// lost reports the end of the connection to the last request if the connection is idle.
func (s *idleState) lost() {
	s.mu.Lock()
	user, since := s.user, s.since
	s.since = time.Time{}
	s.mu.Unlock()
	if user != nil && !since.IsZero() {
		user.idleLost(time.Since(since))
	}
}

// Read implements net.Conn. The transport reads from idle connections to notice their end.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.idle.lost()
	}
	if n > 0 {
		if err := c.head.check(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	// Count before the write: even if it fails, some bytes may have been sent.
	c.written += uint64(len(p))
	return c.Conn.Write(p)
}

// idleCheckTimeout bounds the wait for the transport to look at a connection that became idle, which
// it does at once if it gets processor time.
const idleCheckTimeout = 2 * time.Millisecond

// awaitIdleCheck waits until the transport has looked for bytes that follow the last response on an idle
// connection. If there are any, it closes the connection; otherwise it reads.
func (c *conn) awaitIdleCheck() {
	checked := func() bool { return c.reading.Load() || c.closed.Load() }
	if !checked() {
		timer.Poll(timer.Real{}, idleCheckTimeout/100, idleCheckTimeout, nil, checked)
	}
}

// connOf returns the connection that a Client opened for nc, and whether nc encrypts what is written
// to it.
func connOf(nc net.Conn) (c *conn, secure bool) {
	if s, ok := nc.(*tls.Conn); ok {
		return s.NetConn().(*conn), true
	}
	return nc.(*conn), false
}

// setDeliveryTimeout sets the TCP_USER_TIMEOUT of the connection.
func (c *conn) setDeliveryTimeout(d time.Duration) {
	if c.deliveryTimeout != d && dial.SetUserTimeout(c.Conn, d) == nil {
		c.deliveryTimeout = d
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	if c.onClose != nil {
		c.onClose()
	}
	return c.Conn.Close()
}

// bytesWritten returns how many bytes were passed to Write so far.
func (c *conn) bytesWritten() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// hasUnsent reports whether bytes that were passed to Write have not reached the other end, as
// far as the kernel can tell.
func (c *conn) hasUnsent() bool {
	if !c.mu.TryLock() {
		return true // a write is waiting
	}
	c.mu.Unlock()
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged := 0
	err = raw.Control(func(fd uintptr) { unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && unacknowledged > 0
}

// seal closes the connection, makes further writes fail and returns how many bytes
// were written. A write in progress holds the lock, so the connection is closed first
// to end that write.
func (c *conn) seal() uint64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

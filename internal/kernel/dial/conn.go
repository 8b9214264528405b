package dial

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a TCP connection whose reads end with io.EOF only if the peer has closed it in order.
//
// The kernel reports the loss of a connection to one call only. If that is a write, all later
// reads return what was received before and then 0 bytes, as after an orderly close. A response
// that ends with its connection would be taken for complete.
type conn struct {
	net.Conn

	// mu is held during a write.
	mu sync.Mutex
	// lost is the error with which a write learned that the connection was lost.
	lost error
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// end returns io.EOF if the peer has closed the connection in order, and otherwise the error of the
// write that learned of its loss.
func (c *conn) end() error {
	// A write in progress may learn of it just now. A write that waits for the peer to receive
	// would wait on, and nothing that it sends can be answered any more.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost != nil {
		return c.lost
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.lost == nil && meansLoss(err) {
		c.lost = err
	}
	return n, err
}

// meansLoss reports whether the error of a write means that the connection was lost before the peer
// closed it. A reset that follows the peer's close is reported as EPIPE.
func meansLoss(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

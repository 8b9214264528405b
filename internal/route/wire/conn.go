package wire

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/dial"
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

	mu      sync.Mutex
	written uint64
	sealed  bool
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

// setDeliveryTimeout sets the TCP_USER_TIMEOUT of a connection of a Client.
func setDeliveryTimeout(nc net.Conn, d time.Duration) {
	if secure, ok := nc.(*tls.Conn); ok {
		nc = secure.NetConn()
	}
	if c, ok := nc.(*conn); ok && c.deliveryTimeout != d && dial.SetUserTimeout(c.Conn, d) == nil {
		c.deliveryTimeout = d
	}
}

// bytesWritten returns how many bytes were passed to Write so far.
func (c *conn) bytesWritten() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
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

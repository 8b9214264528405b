package wire

import (
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("the connection's request was given up")

// conn is a connection that can be sealed against further writes.
type conn struct {
	net.Conn

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
	// Counted before the write: after a failed one some bytes may have left.
	c.written += uint64(len(p))
	return c.Conn.Write(p)
}

func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops all further writes and returns the count of bytes so far. It
// waits for a write in progress, so the connection is closed first.
func (c *conn) seal() uint64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

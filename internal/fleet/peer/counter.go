package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// Counter counts the bytes of peer connections. Its zero value is ready to use,
// and a nil Counter counts nothing.
type Counter struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// wrap returns a connection that counts its bytes in c and whose writes time out.
func (c *Counter) wrap(nc net.Conn) net.Conn {
	return &countedConn{
		Conn:    nc,
		counter: c,
	}
}

// baseWriteTimeout bounds a write to another instance, in addition to the time
// that its bytes take at minWriteRate. An unreachable instance reads nothing:
// once the buffers are full, a write without a timeout would block forever, and
// all later calls on the connection with it.
const baseWriteTimeout = 500 * time.Millisecond

// minWriteRate is the slowest rate, in bytes per second, at which a large write
// may proceed. A whole page of results may take longer than baseWriteTimeout on
// the link of a small instance.
const minWriteRate = 1 << 20

// writeTimeoutFor returns how long a write of n bytes may take.
func writeTimeoutFor(n int) time.Duration {
	return baseWriteTimeout + time.Duration(n)*time.Second/minWriteRate
}

// countedConn is a net.Conn that counts bytes and bounds the time of each write.
type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.counter != nil {
		c.counter.Received.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeoutFor(len(p)))); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if c.counter != nil {
		c.counter.Sent.Add(int64(n))
	}
	return n, err
}

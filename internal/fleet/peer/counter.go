package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// Counter counts bytes of peer connections. Its zero value works, and a nil
// Counter counts nothing.
type Counter struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// wrap returns a connection that is counted and whose writes end.
func (c *Counter) wrap(nc net.Conn) net.Conn {
	return &countedConn{
		Conn:    nc,
		counter: c,
	}
}

// writeTimeout bounds one write to another instance. One that is cut off reads
// nothing: once the buffers are full a write would wait for ever, and all later
// calls on the connection behind it.
const writeTimeout = 500 * time.Millisecond

// slowLink is the fewest bytes a second that count as progress: a whole page of
// results may take longer than writeTimeout on the link of a small instance.
const slowLink = 1 << 20

// timeoutOf returns how long a write of n bytes may take.
func timeoutOf(n int) time.Duration {
	return writeTimeout + time.Duration(n)*time.Second/slowLink
}

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
	if err := c.Conn.SetWriteDeadline(time.Now().Add(timeoutOf(len(p)))); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if c.counter != nil {
		c.counter.Sent.Add(int64(n))
	}
	return n, err
}

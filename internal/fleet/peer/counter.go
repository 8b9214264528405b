package peer

import (
	"net"
	"sync/atomic"
)

// Counter counts bytes of peer connections. Its zero value works, and a nil
// Counter counts nothing.
type Counter struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

func (c *Counter) wrap(nc net.Conn) net.Conn {
	if c == nil {
		return nc
	}
	return &countedConn{
		Conn:    nc,
		counter: c,
	}
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Sent.Add(int64(n))
	return n, err
}

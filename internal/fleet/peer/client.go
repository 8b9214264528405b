package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/dial"
)

// MaxConns is the maximum number of open connections to peers. A new connection
// beyond it closes the idle one that was used least recently; connections with
// calls in progress are not closed.
const MaxConns = 32

// userTimeout ends a connection whose calls don't arrive. An instance that is paused while
// it is partitioned can't close it at the deadline of its call.
const userTimeout = 2 * time.Second

// dialer opens the connections to other instances.
var dialer = dial.Dialer{
	UserTimeout: userTimeout,
}

// Client calls other instances, and keeps one connection open to each of them.
// Its zero value is ready to use.
type Client struct {
	// Bytes counts the bytes sent and received; nil counts nothing.
	Bytes *Counter
	// TLS configures the connections; nil connects in plain text.
	TLS *tls.Config

	mu    sync.Mutex
	conns map[string]*conn
	// useCount numbers the uses of connections, to find the least recent one.
	useCount uint64
}

// conn is a connection to one address.
type conn struct {
	rpc *rpc.Client
	// raw is the connection below TLS.
	raw net.Conn
	// lastUse is the value of Client.useCount at the last use.
	lastUse uint64
	// busy is the number of calls in progress.
	busy int
	// closedLocally is set when this side closes the connection: calls that then
	// fail may have been sent.
	closedLocally atomic.Bool
}

// errPeerClosed means that a call was not sent because the peer had closed its
// connection.
var errPeerClosed = errors.New("the peer closed the connection before the call was sent")

// Call calls method at address and waits for its reply until ctx ends. If the
// peer has closed the open connection to it, for example in a restart, the call
// was not sent, and is made again over a new connection.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	err := c.call(ctx, address, method, args, reply)
	if errors.Is(err, errPeerClosed) {
		err = c.call(ctx, address, method, args, reply)
	}
	return err
}

// call makes one attempt at a call. It returns errPeerClosed if the call was not
// sent because the peer had closed the connection.
func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	cn, err := c.acquire(ctx, address)
	if err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	// The connection is also reset if the deadline passes while the call is being written.
	// Go returns only then, and the call must not arrive later.
	stop := context.AfterFunc(ctx, func() { c.discard(address, cn) })
	call := cn.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	<-call.Done // discard ends the call as well, so reply is no longer written to
	if !stop() {
		return fmt.Errorf("peer %s: %s: %w", address, method, ctx.Err())
	}
	peerClosed := errors.Is(call.Error, rpc.ErrShutdown) && !cn.closedLocally.Load()
	c.release(address, cn, call.Error)
	if peerClosed {
		return fmt.Errorf("peer %s: %s: %w", address, method, errPeerClosed)
	}
	if call.Error != nil {
		return fmt.Errorf("peer %s: %s: %w", address, method, call.Error)
	}
	return nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cn := range c.conns {
		_ = cn.rpc.Close()
		delete(c.conns, address)
	}
}

// CloseIdle closes the connection to address unless a call is in progress on it.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cn, ok := c.conns[address]; ok && cn.busy == 0 {
		_ = cn.rpc.Close()
		delete(c.conns, address)
	}
}

// acquire returns the connection to address, opening one if there is none, and
// counts a call in progress on it. release and discard are its counterparts.
func (c *Client) acquire(ctx context.Context, address string) (*conn, error) {
	c.mu.Lock()
	c.useCount++
	if cn, ok := c.conns[address]; ok {
		cn.lastUse = c.useCount
		cn.busy++
		c.mu.Unlock()
		return cn, nil
	}
	c.mu.Unlock()
	nc, raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	cn := &conn{
		rpc:  rpc.NewClient(c.Bytes.wrap(nc)),
		raw:  raw,
		busy: 1,
	}
	c.add(address, cn)
	return cn, nil
}

// dial opens a connection to address, and returns it together with the TCP connection below.
func (c *Client) dial(ctx context.Context, address string) (nc, raw net.Conn, err error) {
	raw, err = dialer.DialContext(ctx, "tcp", address)
	if err != nil || c.TLS == nil {
		return raw, raw, err
	}
	config := c.TLS
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config = config.Clone()
		config.ServerName = host
	}
	tc := tls.Client(raw, config)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	return tc, raw, nil
}

// add makes cn the connection to address, and closes another one if there are
// more than MaxConns.
func (c *Client) add(address string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[string]*conn)
	}
	cn.lastUse = c.useCount
	if old, ok := c.conns[address]; ok && old.busy == 0 {
		_ = old.rpc.Close()
	}
	c.conns[address] = cn
	if len(c.conns) > MaxConns {
		c.evict()
	}
}

// evict closes the idle connection that was used least recently.
func (c *Client) evict() {
	var oldest string
	for address, cn := range c.conns {
		if cn.busy == 0 && (oldest == "" || cn.lastUse < c.conns[oldest].lastUse) {
			oldest = address
		}
	}
	if oldest != "" {
		_ = c.conns[oldest].rpc.Close()
		delete(c.conns, oldest)
	}
}

// release ends a call in progress on cn. It closes cn if the call failed other
// than by an error of the method, or if cn is no longer the connection to address
// and no other call uses it.
func (c *Client) release(address string, cn *conn, err error) {
	c.mu.Lock()
	cn.busy--
	replaced := c.conns[address] != cn && cn.busy == 0
	c.mu.Unlock()
	if _, answered := err.(rpc.ServerError); replaced || (err != nil && !answered) {
		c.discard(address, cn)
	}
}

// discard closes cn, and removes it if it is the connection to address.
func (c *Client) discard(address string, cn *conn) {
	c.mu.Lock()
	if c.conns[address] == cn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	cn.closedLocally.Store(true)
	// Closing TLS would write an alert first, which waits while the buffers are full.
	_ = cn.raw.Close()
	_ = cn.rpc.Close()
}

// CallTimeout is the timeout of ordinary calls between instances.
const CallTimeout = time.Second

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
)

// MaxConns bounds the open connections to peers. A call beyond it closes the
// connection that was idle longest.
const MaxConns = 32

// Client calls other instances. Its zero value works.
type Client struct {
	// Bytes counts what is sent and received; nil counts nothing.
	Bytes *Counter
	// TLS is how calls are secured; nil calls in plain text.
	TLS *tls.Config

	mu    sync.Mutex
	conns map[string]*conn
	turn  uint64
}

type conn struct {
	rpc  *rpc.Client
	used uint64
	busy int
	// given says that this side closed the connection: its calls may have been
	// sent.
	given atomic.Bool
}

// errGone means that a call was not sent, as the other end of its connection is
// gone.
var errGone = errors.New("the connection is gone")

// Call calls method at address and waits for its reply until ctx ends. A
// connection that was open and whose other end is gone, as after a restart, is
// replaced: such a call was not sent.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	err := c.call(ctx, address, method, args, reply)
	if errors.Is(err, errGone) {
		err = c.call(ctx, address, method, args, reply)
	}
	return err
}

func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	cn, err := c.get(ctx, address)
	if err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	call := cn.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	gone := false
	select {
	case <-call.Done:
		gone = errors.Is(call.Error, rpc.ErrShutdown) && !cn.given.Load()
		c.put(address, cn, call.Error)
	case <-ctx.Done():
		c.drop(address, cn)
		<-call.Done // Close ends all pending calls, so reply is no longer written.
		return fmt.Errorf("peer %s: %s: %w", address, method, ctx.Err())
	}
	if gone {
		return fmt.Errorf("peer %s: %s: %w", address, method, errGone)
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

// Forget closes the connection to address unless a call uses it.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cn, ok := c.conns[address]; ok && cn.busy == 0 {
		_ = cn.rpc.Close()
		delete(c.conns, address)
	}
}

func (c *Client) get(ctx context.Context, address string) (*conn, error) {
	c.mu.Lock()
	c.turn++
	if cn, ok := c.conns[address]; ok {
		cn.used = c.turn
		cn.busy++
		c.mu.Unlock()
		return cn, nil
	}
	c.mu.Unlock()
	nc, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	cn := &conn{
		rpc:  rpc.NewClient(c.Bytes.wrap(nc)),
		busy: 1,
	}
	c.add(address, cn)
	return cn, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	if c.TLS == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	d := tls.Dialer{
		Config: c.TLS,
	}
	return d.DialContext(ctx, "tcp", address)
}

func (c *Client) add(address string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[string]*conn)
	}
	cn.used = c.turn
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
		if cn.busy == 0 && (oldest == "" || cn.used < c.conns[oldest].used) {
			oldest = address
		}
	}
	if oldest != "" {
		_ = c.conns[oldest].rpc.Close()
		delete(c.conns, oldest)
	}
}

func (c *Client) put(address string, cn *conn, err error) {
	c.mu.Lock()
	cn.busy--
	orphan := c.conns[address] != cn && cn.busy == 0
	c.mu.Unlock()
	if _, answered := err.(rpc.ServerError); orphan || (err != nil && !answered) {
		c.drop(address, cn)
	}
}

func (c *Client) drop(address string, cn *conn) {
	c.mu.Lock()
	if c.conns[address] == cn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	cn.given.Store(true)
	_ = cn.rpc.Close()
}

// CallTimeout is the deadline of ordinary calls between instances.
const CallTimeout = time.Second

package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/answer"
	"github.com/egretbend/egretbend/internal/kernel/descriptor"
	"github.com/egretbend/egretbend/internal/kernel/dial"
)

// Limits of connections to upstreams.
const (
	dialTimeout     = time.Second
	idleTime        = 20 * time.Second
	idlePerUpstream = 32
	maxHeaderBytes  = 64 << 10
	// deliveryTimeout is for requests without WithDeliveryTimeout. An upstream may be paused
	// and read nothing of a large body for some time, and a domain that is evacuated must
	// get nothing any more 5 s later.
	deliveryTimeout = 2500 * time.Millisecond
)

// Client sends requests to upstreams. Its zero value is ready to use.
type Client struct {
	// TLS configures https connections; with nil the system's root certificates
	// are used.
	TLS *tls.Config
	// BeforeWrite is called like the function of WithBeforeWrite, before it and for every
	// request. It may be nil.
	BeforeWrite func() error
	// Descriptors bounds the connections; nil does not. When it is reached, idle connections are
	// closed first.
	Descriptors *descriptor.Budget

	once   sync.Once
	dialer dial.Dialer
	pooled http.Transport
	fresh  http.Transport
	// open holds the address of each open connection.
	open sync.Map
}

// Reuse says whether a request may use a connection that carried other requests.
type Reuse bool

// The two kinds of connections.
const (
	// Pooled may reuse an idle connection and keeps it open afterwards.
	Pooled Reuse = true
	// Fresh opens a connection for this request only. It is for requests that may
	// not be repeated, as an upstream may close an idle connection just when the
	// request is written to it, and for upstreams that don't say which request
	// they answer.
	Fresh Reuse = false
)

// configureTransports sets up both transports; only the pooled one keeps connections
// alive.
func (c *Client) configureTransports() {
	c.dialer = dial.Dialer{
		Timeout:     dialTimeout,
		UserTimeout: deliveryTimeout,
	}
	for _, t := range []*http.Transport{&c.pooled, &c.fresh} {
		t.DialContext = c.dial
		t.MaxIdleConnsPerHost = idlePerUpstream
		t.IdleConnTimeout = idleTime
		t.MaxResponseHeaderBytes = maxHeaderBytes
		t.DisableCompression = true
		t.TLSClientConfig = c.TLS
	}
	c.fresh.DisableKeepAlives = true
}

// ErrNoDescriptor means that a request was not sent because the process has no descriptor left for
// another connection to an upstream.
var ErrNoDescriptor = errors.New("no descriptor is left for a connection to an upstream")

// takeDescriptor counts a new connection, for which it may close the idle ones.
func (c *Client) takeDescriptor() error {
	if c.Descriptors.Take(descriptor.Upstreams) {
		return nil
	}
	c.CloseIdle()
	if c.Descriptors.Take(descriptor.Upstreams) {
		return nil
	}
	return ErrNoDescriptor
}

// dial opens a connection whose written bytes are counted.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := c.takeDescriptor(); err != nil {
		return nil, err
	}
	nc, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		c.Descriptors.Return(descriptor.Upstreams)
		return nil, err
	}
	opened := &conn{
		Conn:            nc,
		deliveryTimeout: deliveryTimeout,
	}
	opened.onClose = sync.OnceFunc(func() {
		c.open.Delete(opened)
		c.Descriptors.Return(descriptor.Upstreams)
	})
	if onLost := idleLostOf(ctx); onLost != nil {
		// The request may get another connection first, and this one is idle then.
		opened.idle.user, opened.idle.since = &connTracker{onIdleLost: onLost}, time.Now()
	}
	c.open.Store(opened, address)
	return opened, nil
}

// ResetUnsent resets the connections to the given addresses on which written bytes still wait,
// for example for the end of a network partition, and returns their number. What was not
// delivered by then is never delivered; a request on such a connection may have run.
func (c *Client) ResetUnsent(addresses map[string]bool) int {
	reset := 0
	c.open.Range(func(key, address any) bool {
		if cn := key.(*conn); addresses[address.(string)] && cn.hasUnsent() {
			cn.seal()
			reset++
		}
		return true
	})
	return reset
}

// Do sends req and reports whether any byte of it may have been sent. A response is
// returned only with a nil error, and only if its head is valid.
func (c *Client) Do(req *http.Request, reuse Reuse) (res *http.Response, sent bool, err error) {
	c.once.Do(c.configureTransports)
	tracker := &connTracker{
		beforeWrite:     c.beforeWrite(req.Context()),
		deliveryTimeout: deliveryTimeoutOf(req.Context()),
	}
	tracker.onIdleLost = idleLostOf(req.Context())
	trace := &httptrace.ClientTrace{
		GotConn: tracker.gotConn,
	}
	if tracker.onIdleLost != nil {
		trace.PutIdleConn = tracker.putIdleConn
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	// Without GetBody the transport can't silently repeat a request whose body
	// it has begun to send.
	req.GetBody = nil
	transport := &c.pooled
	if reuse == Fresh || req.Context().Value(freshKey{}) != nil {
		transport = &c.fresh
	}
	res, err = transport.RoundTrip(req)
	if err != nil {
		sent = tracker.sealAll()
		if withheld := tracker.withheldErr(); withheld != nil && !sent {
			err = withheld
		}
		return nil, sent, err
	}
	if err := answer.Check(res); err != nil {
		tracker.sealAll()
		_ = res.Body.Close()
		return nil, true, err
	}
	return res, true, nil
}

// beforeWriteKey is the context key of WithBeforeWrite.
type beforeWriteKey struct{}

// WithBeforeWrite returns a context for requests that call check when their connection is
// ready, immediately before the first byte is written. If check returns an error, nothing is
// written and Do returns that error. A request that the transport moves to another connection
// calls check again. A check that ctx has already is called first.
func WithBeforeWrite(ctx context.Context, check func() error) context.Context {
	if earlier := beforeWriteOf(ctx); earlier != nil {
		later := check
		check = func() error {
			if err := earlier(); err != nil {
				return err
			}
			return later()
		}
	}
	return context.WithValue(ctx, beforeWriteKey{}, check)
}

// beforeWriteOf returns the function that was set by WithBeforeWrite, or nil.
func beforeWriteOf(ctx context.Context) func() error {
	check, _ := ctx.Value(beforeWriteKey{}).(func() error)
	return check
}

// idleLostKey is the context key of WithOnIdleLost.
type idleLostKey struct{}

// WithOnIdleLost returns a context for requests that call onLost when the other side closes their
// connection after it became idle, with the time for which it was idle, or when they find that it
// was closed and are moved to another connection. onLost must not wait.
func WithOnIdleLost(ctx context.Context, onLost func(idle time.Duration)) context.Context {
	return context.WithValue(ctx, idleLostKey{}, onLost)
}

// idleLostOf returns the function that was set by WithOnIdleLost, or nil.
func idleLostOf(ctx context.Context) func(time.Duration) {
	onLost, _ := ctx.Value(idleLostKey{}).(func(time.Duration))
	return onLost
}

// deliveryTimeoutKey is the context key of WithDeliveryTimeout.
type deliveryTimeoutKey struct{}

// WithDeliveryTimeout returns a context for requests whose bytes must not be delivered later
// than d after they were written, also if this process is paused. The kernel resets their
// connection if bytes have not been acknowledged by then.
func WithDeliveryTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, deliveryTimeoutKey{}, d)
}

// deliveryTimeoutOf returns the delivery timeout for the requests of a context.
func deliveryTimeoutOf(ctx context.Context) time.Duration {
	if d, ok := ctx.Value(deliveryTimeoutKey{}).(time.Duration); ok {
		return d
	}
	return deliveryTimeout
}

// freshKey is the context key of WithFreshConnection.
type freshKey struct{}

// WithFreshConnection returns a context for requests that are sent over a connection of their own.
// A network partition can't hold them up unless it begins just after the connection is opened,
// whereas requests over idle connections would pile up and be delivered together when it ends.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshKey{}, true)
}

// beforeWrite returns the function to call before the first byte of a request, or nil.
func (c *Client) beforeWrite(ctx context.Context) func() error {
	own, all := beforeWriteOf(ctx), c.BeforeWrite
	if all == nil {
		return own
	}
	return func() error {
		if err := all(); err != nil || own == nil {
			return err
		}
		return own()
	}
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// connTracker records the connections that the transport gave to one request.
type connTracker struct {
	mu   sync.Mutex
	uses []connUse
	// uncounted is set once a connection was given whose bytes are not counted.
	uncounted bool
	// beforeWrite is called with each connection; nil is not called. withheld is the error
	// that it returned.
	beforeWrite func() error
	withheld    error
	// deliveryTimeout is the delivery timeout of the request.
	deliveryTimeout time.Duration
	// onIdleLost is the function of WithOnIdleLost; it may be nil. last is the connection that
	// was given last.
	onIdleLost func(time.Duration)
	last       *conn
}

// idleLost calls the function of WithOnIdleLost.
func (t *connTracker) idleLost(idle time.Duration) {
	if t.onIdleLost != nil {
		t.onIdleLost(idle)
	}
}

// putIdleConn is called by httptrace when the request returns its connection.
func (t *connTracker) putIdleConn(err error) {
	t.mu.Lock()
	last := t.last
	t.mu.Unlock()
	if err == nil && last != nil {
		last.idle.returned(t)
	}
}

// connUse is a connection and the bytes written to it before the request.
type connUse struct {
	conn          *conn
	writtenBefore uint64
}

// gotConn is called by httptrace with each connection that the request is given.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	c, secure := connOf(info.Conn)
	if info.Reused && !secure {
		c.awaitIdleCheck()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.setDeliveryTimeout(t.deliveryTimeout)
	if len(t.uses) > 0 {
		// The other side closed the connection before it received the request.
		t.idleLost(0)
	}
	t.last = c
	c.idle.use(t)
	c.head.begin.Store(!secure) // what TLS reads is encrypted
	if t.beforeWrite != nil {
		t.withheld = t.beforeWrite()
	}
	if t.withheld != nil {
		// The transport writes the request next. The write fails on a closed connection.
		c.seal()
		return
	}
	// A TLS connection writes to the counted one below it at other times, too.
	t.uncounted = t.uncounted || secure
	t.uses = append(t.uses, connUse{
		conn:          c,
		writtenBefore: c.bytesWritten(),
	})
}

// withheldErr returns the error with which the request was withheld, or nil.
func (t *connTracker) withheldErr() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.withheld
}

// sealAll seals all connections of the request and reports whether any of them may
// have been written to on its behalf.
func (t *connTracker) sealAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.uncounted
	for _, u := range t.uses {
		if u.conn.seal() > u.writtenBefore {
			sent = true
		}
	}
	return sent
}

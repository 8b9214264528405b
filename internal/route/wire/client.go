package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Limits of connections to upstreams.
const (
	dialTimeout     = time.Second
	idleTime        = 20 * time.Second
	idlePerUpstream = 32
	maxHeaderBytes  = 64 << 10
)

// Client sends requests to upstreams. Its zero value works.
type Client struct {
	// TLS is for https; nil takes the system's roots.
	TLS *tls.Config

	once   sync.Once
	reused http.Transport
	fresh  http.Transport
}

// Reuse says whether a request may use a connection that carried others.
type Reuse bool

// The two ways to get a connection. A fresh one is for requests that may not
// be repeated, as an upstream may close an idle connection just when the
// request is written to it, and for upstreams that don't say which request
// they answer.
const (
	Shared Reuse = true
	Fresh  Reuse = false
)

func (c *Client) prepare() {
	for _, t := range []*http.Transport{&c.reused, &c.fresh} {
		t.DialContext = dial
		t.MaxIdleConnsPerHost = idlePerUpstream
		t.IdleConnTimeout = idleTime
		t.MaxResponseHeaderBytes = maxHeaderBytes
		t.DisableCompression = true
		t.TLSClientConfig = c.TLS
	}
	c.fresh.DisableKeepAlives = true
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	nc, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: nc,
	}, nil
}

// Do sends req and reports whether a byte of it may have left. A response is
// returned only with a nil error.
func (c *Client) Do(req *http.Request, reuse Reuse) (res *http.Response, sent bool, err error) {
	c.once.Do(c.prepare)
	var track tracker
	trace := &httptrace.ClientTrace{
		GotConn: track.got,
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	// Without GetBody the standard client can't silently repeat a request
	// whose body it has begun to send.
	req.GetBody = nil
	transport := &c.reused
	if reuse == Fresh {
		transport = &c.fresh
	}
	res, err = transport.RoundTrip(req)
	if err != nil {
		return nil, track.sealAll(), err
	}
	return res, true, nil
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() {
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// tracker remembers the connections that an attempt was given.
type tracker struct {
	mu     sync.Mutex
	used   []use
	hidden bool
}

type use struct {
	conn  *conn
	start uint64
}

func (t *tracker) got(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ok {
		// TLS hides the connection below it. What can't be counted may have
		// left.
		t.hidden = true
		return
	}
	t.used = append(t.used, use{
		conn:  c,
		start: c.count(),
	})
}

// sealAll seals the attempt's connections and reports whether any of them was
// written to.
func (t *tracker) sealAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.hidden
	for _, u := range t.used {
		if u.conn.seal() > u.start {
			sent = true
		}
	}
	return sent
}

package door

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// The limits of a door before any configuration is known, and for what it does
// not say.
const (
	// HeaderTimeout is how long a client may take for the head of a request.
	HeaderTimeout = 10 * time.Second
	// IdleTimeout is longer than any idle time that clients are allowed.
	IdleTimeout = 90 * time.Second
	// acceptPause is the pause after a connection that could not be accepted.
	acceptPause = 20 * time.Millisecond
)

// Limited serves clients within the limits of the configuration in force. A
// connection keeps those under which it was opened: closing what is open when
// operators change a limit would cut requests.
type Limited struct {
	Handler http.Handler
	Config  *catalog.Holder

	mu      sync.Mutex
	limits  catalog.Limits
	current *handedOver
	servers []*http.Server
	ln      net.Listener
}

// Serve accepts connections until the door is shut down.
func (d *Limited) Serve(ln net.Listener) error {
	d.mu.Lock()
	d.ln = ln
	d.mu.Unlock()
	for {
		c, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return http.ErrServerClosed
		case err != nil:
			// Descriptors ran out; some are free in a moment.
			timer.Wait(timer.Real{}, acceptPause, nil)
		default:
			d.take(c)
		}
	}
}

// Shutdown takes no new connections and waits for the requests that were read.
func (d *Limited) Shutdown(ctx context.Context) error {
	d.mu.Lock()
	servers := d.servers
	err := d.ln.Close()
	d.mu.Unlock()
	for _, s := range servers {
		err = errors.Join(err, s.Shutdown(ctx))
	}
	return err
}

// take hands a connection to the server with the limits in force.
func (d *Limited) take(c net.Conn) {
	var limits catalog.Limits
	if cfg := d.Config.Current(); cfg != nil {
		limits = cfg.Limits
	}
	d.mu.Lock()
	if d.current == nil || limits != d.limits {
		d.limits = limits
		d.current = d.open(limits)
	}
	to := d.current
	d.mu.Unlock()
	select {
	case to.conns <- c:
	case <-to.done:
		_ = c.Close()
	}
}

// open starts a server with some limits. The lock is held.
func (d *Limited) open(limits catalog.Limits) *handedOver {
	server := &http.Server{
		Handler:           d.Handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
	}
	if server.ReadHeaderTimeout <= 0 {
		server.ReadHeaderTimeout = HeaderTimeout
	}
	if server.IdleTimeout <= 0 {
		server.IdleTimeout = IdleTimeout
	}
	l := &handedOver{
		conns: make(chan net.Conn),
		done:  make(chan struct{}),
	}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }() // it ends when the door is shut down
	return l
}

// handedOver is a listener of connections that were accepted elsewhere.
type handedOver struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// Accept implements net.Listener.
func (h *handedOver) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handedOver) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handedOver) Addr() net.Addr { return &net.TCPAddr{} }

package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/entry/budget"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// The limits that apply before a configuration is loaded, or if the configuration does
// not set them.
const (
	// HeaderTimeout is how long a client may take to send the headers of a request.
	HeaderTimeout = 10 * time.Second
	// IdleTimeout is how long a connection may be idle. It is longer than any idle time
	// that clients are allowed.
	IdleTimeout = 90 * time.Second
	// acceptRetryDelay is the pause before the next Accept after one that failed.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server is an HTTP server that applies the limits of the configuration in force to
// new connections. A connection keeps the limits that applied when it was opened:
// closing open connections after a change of the limits would interrupt requests.
type Server struct {
	Handler http.Handler
	Config  *catalog.Holder
	// Budget bounds what connections hold, and cuts those whose clients stop reading.
	// Nil means no bound.
	Budget *budget.Budget
	// BaseContext is the context that those of all requests derive from. Nil means
	// context.Background().
	BaseContext context.Context

	mu      sync.Mutex
	limits  catalog.Limits
	current *connListener
	servers []*http.Server
	ln      net.Listener
}

// Serve accepts connections until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	for {
		c, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return http.ErrServerClosed
		case err != nil:
			// The process ran out of file descriptors. Some are soon free again.
			timer.Wait(timer.Real{}, acceptRetryDelay, nil)
		default:
			s.dispatch(c)
		}
	}
}

// Shutdown stops accepting connections and waits for the requests in progress to finish.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	servers := s.servers
	err := s.ln.Close()
	s.mu.Unlock()
	for _, server := range servers {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	return err
}

// dispatch passes a connection to a server with the limits in force. It starts a new
// server if the limits have changed.
func (s *Server) dispatch(c net.Conn) {
	var limits catalog.Limits
	if cfg := s.Config.Current(); cfg != nil {
		limits = cfg.Limits
	}
	s.mu.Lock()
	if s.current == nil || limits != s.limits {
		s.limits = limits
		s.current = s.startServer(limits)
	}
	l := s.current
	s.mu.Unlock()
	select {
	case l.conns <- s.Budget.Wrap(c):
	case <-l.done:
		_ = c.Close()
	}
}

// startServer starts a server with the given limits. s.mu must be held.
func (s *Server) startServer(limits catalog.Limits) *connListener {
	server := &http.Server{
		Handler:           s.Handler,
		ConnContext:       budget.ConnContext,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
	}
	if s.BaseContext != nil {
		server.BaseContext = func(net.Listener) context.Context { return s.BaseContext }
	}
	if server.ReadHeaderTimeout <= 0 {
		server.ReadHeaderTimeout = HeaderTimeout
	}
	if server.IdleTimeout <= 0 {
		server.IdleTimeout = IdleTimeout
	}
	l := &connListener{
		conns: make(chan net.Conn),
		done:  make(chan struct{}),
	}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // it returns when Shutdown is called
	return l
}

// connListener is a net.Listener for connections that Server has accepted.
type connListener struct {
	conns     chan net.Conn
	closeOnce sync.Once
	done      chan struct{}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }

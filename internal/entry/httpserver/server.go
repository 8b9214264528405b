package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/entry/budget"
	"github.com/egretbend/egretbend/internal/kernel/descriptor"
	"github.com/egretbend/egretbend/internal/kernel/journal"
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
	// minAcceptPause is the pause before the next Accept after one that failed. It doubles with
	// each failure in a row, up to maxAcceptPause.
	minAcceptPause = 20 * time.Millisecond
	maxAcceptPause = time.Second
	// refusalLogPeriod is how often refused connections are logged.
	refusalLogPeriod = time.Second
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
	// Descriptors bounds the connections. Beyond it, the one that is idle for the longest time is
	// closed for a new one, or the new one if none is idle. Nil means no bound.
	Descriptors *descriptor.Budget
	// Journal gets a line for connections that were not accepted.
	Journal *journal.Journal

	mu      sync.Mutex
	limits  catalog.Limits
	current *connListener
	servers []*http.Server
	ln      net.Listener
	// idle holds since when each idle connection is idle, and evicted those that were closed for
	// another one and have not ended yet; their descriptors are counted as returned.
	idle    map[net.Conn]time.Time
	evicted map[net.Conn]bool
	// refusalLoggedAt is when a refused connection was last logged.
	refusalLoggedAt time.Time
}

// Serve accepts connections until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	pause := minAcceptPause
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		if err != nil {
			// The process ran out of file descriptors. Some are soon free again.
			s.Journal.Warn("connection of a client not accepted", err, log.Fields{
				"pause_ms": pause.Milliseconds(),
			})
			timer.Wait(timer.Real{}, pause, nil)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		if s.takeDescriptor() {
			s.dispatch(c)
			continue
		}
		s.refuse(c)
	}
}

// takeDescriptor counts a new connection, for which it may close one that is idle. It reports false if
// there is no room.
func (s *Server) takeDescriptor() bool {
	return s.Descriptors.Take(descriptor.Callers) || s.closeLongestIdle() && s.Descriptors.Take(descriptor.Callers)
}

// closeLongestIdle closes the connection that is idle for the longest time, and reports false if none
// is idle. Its client sends the next request over another one.
func (s *Server) closeLongestIdle() bool {
	s.mu.Lock()
	var longest net.Conn
	for c, since := range s.idle {
		if longest == nil || since.Before(s.idle[longest]) {
			longest = c
		}
	}
	if longest != nil {
		delete(s.idle, longest)
		if s.evicted == nil {
			s.evicted = make(map[net.Conn]bool)
		}
		s.evicted[longest] = true
	}
	s.mu.Unlock()
	if longest == nil {
		return false
	}
	_ = longest.Close()
	s.Descriptors.Return(descriptor.Callers)
	return true
}

// refuse closes a connection of which nothing was read, so that its client turns to another instance
// at once.
func (s *Server) refuse(c net.Conn) {
	_ = c.Close()
	if now := time.Now(); now.Sub(s.refusalLoggedAt) > refusalLogPeriod {
		s.refusalLoggedAt = now
		s.Journal.Warn("connection of a client refused", errNoDescriptor, log.Fields{
			"open":    s.Descriptors.Held(descriptor.Callers),
			"refused": s.Descriptors.Refused(descriptor.Callers),
		})
	}
}

var errNoDescriptor = errors.New("too few descriptors")

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
		s.Descriptors.Return(descriptor.Callers)
	}
}

// startServer starts a server with the given limits. s.mu must be held.
func (s *Server) startServer(limits catalog.Limits) *connListener {
	server := &http.Server{
		Handler:           s.Handler,
		ConnContext:       budget.ConnContext,
		ConnState:         s.trackState,
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

// trackState follows which connections are idle, and counts those that end.
func (s *Server) trackState(c net.Conn, state http.ConnState) {
	if s.Descriptors == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		if s.idle == nil {
			s.idle = make(map[net.Conn]time.Time)
		}
		s.idle[c] = time.Now()
	case http.StateActive:
		delete(s.idle, c)
	case http.StateClosed, http.StateHijacked:
		delete(s.idle, c)
		if !s.evicted[c] {
			s.Descriptors.Return(descriptor.Callers)
		}
		delete(s.evicted, c)
	}
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

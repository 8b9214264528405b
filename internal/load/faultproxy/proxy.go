package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// State determines whether and how a proxy forwards bytes.
type State int

// The states of a proxy.
const (
	// Healthy forwards bytes without delay.
	Healthy State = iota
	// Slow forwards bytes after slowDelay.
	Slow
	// BlackholeRequests forwards nothing from the caller to the target.
	BlackholeRequests
	// BlackholeResponses forwards nothing from the target to the caller.
	BlackholeResponses
	// Blackhole forwards nothing in either direction.
	Blackhole
	// Refusing resets open connections and each new one.
	Refusing
)

var stateNames = [...]string{"whole", "slow", "silent_out", "silent_back", "silent", "shut"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Times and sizes of a proxy.
const (
	// slowDelay is the delay in one direction in state Slow: fifty times the
	// usual delay between two failure domains.
	slowDelay   = 70 * time.Millisecond
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// Proxy is a TCP proxy to one target address.
type Proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	state   State
	changed chan struct{}
	// conns holds the open connections to callers and to the target.
	conns  map[net.Conn]bool
	closed bool
	// silent holds the connections of which nothing is forwarded any more.
	silent map[net.Conn]bool
}

// Listen listens on a free loopback port and forwards connections to target. The
// proxy is Healthy at first.
func Listen(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target:   target,
		listener: ln,
		changed:  make(chan struct{}),
		conns:    make(map[net.Conn]bool),
	}
	go p.acceptLoop()
	return p, nil
}

// Address returns the address that callers connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetState changes the state of the proxy. Refusing also resets all open
// connections.
func (p *Proxy) SetState(s State) {
	p.mu.Lock()
	p.state = s
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	if s == Refusing {
		p.ResetConnections()
	}
}

// ResetConnections aborts all open connections, so that both ends see a TCP reset.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// SilenceConnections makes all open connections silent for good: they stay open, and nothing is
// forwarded on them any more. New ones work.
func (p *Proxy) SilenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if p.silent == nil {
			p.silent = make(map[net.Conn]bool)
		}
		p.silent[c] = true
	}
}

// isSilent reports whether nothing of a connection is forwarded any more.
func (p *Proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.ResetConnections()
	return p.listener.Close()
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// With a linger time of 0, Close discards unsent bytes and sends a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// acceptLoop accepts connections until the listener is closed.
func (p *Proxy) acceptLoop() {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.proxyConn(c)
		}
	}
}

// currentState returns the state, whether the proxy is closed, and a channel that
// is closed at the next change of either.
func (p *Proxy) currentState() (State, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.closed, p.changed
}

// track adds a connection to those that ResetConnections aborts.
func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

// untrackAndClose closes a connection that track was called for.
func (p *Proxy) untrackAndClose(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.silent, c)
	p.mu.Unlock()
	_ = c.Close()
}

// proxyConn connects to the target and copies bytes in both directions until both
// have ended. It aborts the caller's connection if the proxy is Refusing or closed,
// or if the target can't be reached.
func (p *Proxy) proxyConn(caller net.Conn) {
	p.track(caller)
	defer p.untrackAndClose(caller)
	if s, closed, _ := p.currentState(); s == Refusing || closed {
		abort(caller)
		return
	}
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		abort(caller)
		return
	}
	p.track(target)
	defer p.untrackAndClose(target)
	done := make(chan struct{}, 2)
	go p.copyOneWay(caller, target, BlackholeRequests, done)
	go p.copyOneWay(target, caller, BlackholeResponses, done)
	<-done
	<-done
}

// copyOneWay copies bytes in one direction and sends to done when it ends. It
// blocks while the state of the proxy is Blackhole or blockingState, the state that
// holds back bytes in this direction only.
func (p *Proxy) copyOneWay(from, to net.Conn, blockingState State, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if err == nil && p.isSilent(from) {
			continue
		}
		if !p.waitToForward(blockingState) {
			abort(to)
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				abort(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			abort(to)
			return
		}
	}
}

// waitToForward blocks while the proxy holds back bytes in this direction. In state
// Slow it waits for slowDelay or until the next state change. It returns false if
// the proxy is Refusing or closed.
func (p *Proxy) waitToForward(blockingState State) bool {
	for {
		s, closed, changed := p.currentState()
		switch {
		case closed || s == Refusing:
			return false
		case s == Blackhole || s == blockingState:
			<-changed
		case s == Slow:
			timer.Wait(timer.Real{}, slowDelay, changed)
			return true
		default:
			return true
		}
	}
}

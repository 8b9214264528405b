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
}

// Listen listens on a free loopback port and forwards connections to target. The
// proxy is Healthy at first.
func Listen(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Proxy{
		target:   target,
		listener: ln,
		changed:  make(chan struct{}),
		conns:    make(map[net.Conn]bool),
	}
	go l.acceptLoop()
	return l, nil
}

// Address returns the address that callers connect to.
func (l *Proxy) Address() string { return l.listener.Addr().String() }

// SetState changes the state of the proxy. Refusing also resets all open
// connections.
func (l *Proxy) SetState(s State) {
	l.mu.Lock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	if s == Refusing {
		l.ResetConnections()
	}
}

// ResetConnections aborts all open connections, so that both ends see a TCP reset.
func (l *Proxy) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		abort(c)
	}
}

// Close stops listening and resets all open connections.
func (l *Proxy) Close() error {
	l.mu.Lock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	l.ResetConnections()
	return l.listener.Close()
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
func (l *Proxy) acceptLoop() {
	for {
		c, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go l.proxyConn(c)
		}
	}
}

// currentState returns the state, whether the proxy is closed, and a channel that
// is closed at the next change of either.
func (l *Proxy) currentState() (State, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.closed, l.changed
}

// track adds a connection to those that ResetConnections aborts.
func (l *Proxy) track(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

// untrackAndClose closes a connection that track was called for.
func (l *Proxy) untrackAndClose(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	_ = c.Close()
}

// proxyConn connects to the target and copies bytes in both directions until both
// have ended. It aborts the caller's connection if the proxy is Refusing or closed,
// or if the target can't be reached.
func (l *Proxy) proxyConn(caller net.Conn) {
	l.track(caller)
	defer l.untrackAndClose(caller)
	if s, closed, _ := l.currentState(); s == Refusing || closed {
		abort(caller)
		return
	}
	target, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		abort(caller)
		return
	}
	l.track(target)
	defer l.untrackAndClose(target)
	done := make(chan struct{}, 2)
	go l.copyOneWay(caller, target, BlackholeRequests, done)
	go l.copyOneWay(target, caller, BlackholeResponses, done)
	<-done
	<-done
}

// copyOneWay copies bytes in one direction and sends to done when it ends. It
// blocks while the state of the proxy is Blackhole or blockingState, the state that
// holds back bytes in this direction only.
func (l *Proxy) copyOneWay(from, to net.Conn, blockingState State, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if !l.waitToForward(blockingState) {
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
func (l *Proxy) waitToForward(blockingState State) bool {
	for {
		s, closed, changed := l.currentState()
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

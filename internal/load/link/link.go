package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// State is how a link carries bytes.
type State int

// The states of a link.
const (
	// Whole links carry bytes at once.
	Whole State = iota
	// Slow links carry them late.
	Slow
	// SilentOut links carry nothing from the caller to the target.
	SilentOut
	// SilentBack links carry nothing from the target to the caller.
	SilentBack
	// Silent links carry nothing.
	Silent
	// Shut links break each new connection, and those that are open.
	Shut
)

var names = [...]string{"whole", "slow", "silent_out", "silent_back", "silent", "shut"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// The times of a link.
const (
	// slowDelay is how late a slow link carries bytes, one way: fifty times the
	// usual time between two failure domains.
	slowDelay = 70 * time.Millisecond
	dialTime  = time.Second
	chunk     = 32 << 10
)

// Link is a proxy to one target.
type Link struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	state   State
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

// Open listens on a free loopback port and carries what comes there to target.
func Open(target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		target:   target,
		listener: ln,
		changed:  make(chan struct{}),
		conns:    make(map[net.Conn]bool),
	}
	go l.accept()
	return l, nil
}

// Address is where callers connect.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set puts a state in force.
func (l *Link) Set(s State) {
	l.mu.Lock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	if s == Shut {
		l.Reset()
	}
}

// Reset breaks all open connections, so that both ends see a reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		abort(c)
	}
}

// Close ends the link with all its connections.
func (l *Link) Close() error {
	l.mu.Lock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	l.Reset()
	return l.listener.Close()
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without a wait for unsent bytes the close becomes a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go l.carry(c)
		}
	}
}

// look returns the state in force, and a channel that is closed at the next one.
func (l *Link) look() (State, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.closed, l.changed
}

// hold keeps a connection among those that a reset breaks.
func (l *Link) hold(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

func (l *Link) release(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	_ = c.Close()
}

func (l *Link) carry(caller net.Conn) {
	l.hold(caller)
	defer l.release(caller)
	if s, closed, _ := l.look(); s == Shut || closed {
		abort(caller)
		return
	}
	target, err := net.DialTimeout("tcp", l.target, dialTime)
	if err != nil {
		abort(caller)
		return
	}
	l.hold(target)
	defer l.release(target)
	done := make(chan struct{}, 2)
	go l.pump(caller, target, SilentOut, done)
	go l.pump(target, caller, SilentBack, done)
	<-done
	<-done
}

// pump carries bytes one way. The way is held up while the link is silent or
// silent this way.
func (l *Link) pump(from, to net.Conn, silent State, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if !l.pass(silent) {
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

// pass waits until bytes may go on, and reports false if they never may.
func (l *Link) pass(silent State) bool {
	for {
		s, closed, changed := l.look()
		switch {
		case closed || s == Shut:
			return false
		case s == Silent || s == silent:
			<-changed
		case s == Slow:
			timer.Wait(timer.Real{}, slowDelay, changed)
			return true
		default:
			return true
		}
	}
}

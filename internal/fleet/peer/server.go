package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/descriptor"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// The pause after a connection that could not be accepted, for example because the process ran out of
// descriptors. It doubles with each failure in a row.
const (
	minAcceptPause = 20 * time.Millisecond
	maxAcceptPause = time.Second
)

// Server answers calls of other instances. Its zero value is ready to use;
// receivers must be registered before Serve is called.
type Server struct {
	// Bytes counts the bytes sent and received; nil counts nothing.
	Bytes *Counter
	// Journal gets a line for each connection that could not be accepted.
	Journal *journal.Journal
	// Descriptors bounds the connections; a new one beyond it is closed. Nil means no bound.
	Descriptors *descriptor.Budget

	rpc   rpc.Server
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// refusalLoggedAt is when a refused connection was last logged.
	refusalLoggedAt time.Time
}

// Register makes the methods of receiver callable under name.Method.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections on ln until t dies, and then closes all of them.
func (s *Server) Serve(t *tomb.Tomb, ln net.Listener) error {
	t.Go(func() error {
		<-t.Dying()
		_ = ln.Close()
		s.closeAll()
		return nil
	})
	pause := minAcceptPause
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Journal.Warn("connection of another instance not accepted", err, log.Fields{
				"pause_ms": pause.Milliseconds(),
			})
			timer.Wait(timer.Real{}, pause, t.Dying())
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		if !s.Descriptors.Take(descriptor.Peers) {
			_ = nc.Close()
			s.logRefusal()
			continue
		}
		s.track(nc)
		t.Go(func() error {
			defer s.Descriptors.Return(descriptor.Peers)
			defer s.untrack(nc)
			s.rpc.ServeConn(s.Bytes.wrap(nc))
			return nil
		})
	}
}

// logRefusal logs that connections are refused, once a second at most.
func (s *Server) logRefusal() {
	if now := time.Now(); now.Sub(s.refusalLoggedAt) > maxAcceptPause {
		s.refusalLoggedAt = now
		s.Journal.Warn("connection of another instance refused", errNoDescriptor, log.Fields{
			"open":    s.Descriptors.Held(descriptor.Peers),
			"refused": s.Descriptors.Refused(descriptor.Peers),
		})
	}
}

var errNoDescriptor = errors.New("too few descriptors")

func (s *Server) track(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[net.Conn]struct{})
	}
	s.conns[nc] = struct{}{}
}

func (s *Server) untrack(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, nc)
	_ = nc.Close()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		_ = nc.Close()
	}
}

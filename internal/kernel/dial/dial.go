package dial

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Dialer opens connections. Its zero value is ready to use.
type Dialer struct {
	// Timeout bounds opening a connection; 0 means no bound but the context's.
	Timeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged before the kernel resets the
	// connection; 0 means the kernel's default of many minutes. It has no effect on systems
	// other than Linux.
	UserTimeout time.Duration
	// KeepAlive configures the probes of idle connections.
	KeepAlive net.KeepAliveConfig
}

// DialContext opens a TCP connection that is reset when it is closed. Its reads end with io.EOF only
// if the peer has closed it in order, also if a write learned of a reset first.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	nd := net.Dialer{
		Timeout:         d.Timeout,
		KeepAliveConfig: d.KeepAlive,
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, d.UserTimeout)
		},
	}
	nc, err := nd.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = nc.Close()
			return nil, err
		}
	}
	return &conn{
		Conn: nc,
	}, nil
}

// SetUserTimeout sets the UserTimeout of an open TCP connection.
func SetUserTimeout(nc net.Conn, d time.Duration) error {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, d)
}

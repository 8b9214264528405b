package standby

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// serviceName is the RPC service that instances call each other by.
const serviceName = "Standby"

// Timeouts of calls.
const (
	// sendTimeout bounds one heartbeat, which may carry the texts of a step.
	sendTimeout = 600 * time.Millisecond
	// askTimeout bounds asking an owner; a live one answers within some milliseconds.
	askTimeout = 250 * time.Millisecond
	// fetchTimeout bounds fetching a copy. A batch that is taken over waits for the copy
	// before it is resumed, and after a power loss of all instances there is none.
	fetchTimeout = 150 * time.Millisecond
	// observeTimeout bounds asking an owner by way of another instance.
	observeTimeout = askTimeout + 100*time.Millisecond
)

// Peers calls other instances.
type Peers interface {
	// Send sends a heartbeat to a successor. It returns ErrGap if the successor lacks
	// earlier events.
	Send(ctx context.Context, address string, h Heartbeat) error
	// Ask asks an instance whether it is the given incarnation.
	Ask(ctx context.Context, address, incarnation string) Answer
	// Observe has another instance, the observer, ask.
	Observe(ctx context.Context, observer, address, incarnation string) Answer
	// Fetch returns the copy of a batch that another instance holds.
	Fetch(ctx context.Context, address, batch string) (Copy, bool)
}

// Server serves the calls of other instances.
type Server struct {
	Copies      *Copies
	Incarnation string
	Peers       Peers
	Timer       timer.Service
	// OnHeartbeat is called for each heartbeat with its sender and the sender's time of day. It
	// may be nil.
	OnHeartbeat func(instance string, wall time.Time)
}

// Register registers the calls that other instances make to this one.
func (s *Server) Register(p *peer.Server) error {
	return p.Register(serviceName, &rpcMethods{server: s})
}

// rpcMethods has the methods that other instances call.
type rpcMethods struct{ server *Server }

// AskRequest names an incarnation of an instance.
type AskRequest struct {
	Address     string
	Incarnation string
}

// Reply is the answer to any call.
type Reply struct {
	Gap    bool
	Life   string
	Answer Answer
	Copy   Copy
	Found  bool
}

// Send applies a heartbeat.
func (m *rpcMethods) Send(h *Heartbeat, r *Reply) error {
	err := m.server.Copies.Apply(*h, m.server.Timer.Now())
	if m.server.OnHeartbeat != nil {
		m.server.OnHeartbeat(h.Owner.Instance, time.UnixMicro(h.UnixMicro))
	}
	r.Gap = errors.Is(err, ErrGap)
	return nil
}

// Ask returns the incarnation of this instance.
func (m *rpcMethods) Ask(_ *AskRequest, r *Reply) error {
	r.Life = m.server.Incarnation
	return nil
}

// Observe asks another instance on behalf of the caller.
func (m *rpcMethods) Observe(q *AskRequest, r *Reply) error {
	r.Answer = m.server.Peers.Ask(context.Background(), q.Address, q.Incarnation)
	return nil
}

// Fetch returns the copy of a batch.
func (m *rpcMethods) Fetch(batch *string, r *Reply) error {
	r.Copy, r.Found = m.server.Copies.Find(*batch)
	return nil
}

// PeerClient implements Peers over the RPC client of the instances.
type PeerClient struct {
	Client *peer.Client
}

func (p *PeerClient) call(ctx context.Context, timeout time.Duration, address, method string, args any) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := &Reply{}
	err := p.Client.Call(ctx, address, serviceName+"."+method, args, r)
	return r, err
}

// Send implements Peers.
func (p *PeerClient) Send(ctx context.Context, address string, h Heartbeat) error {
	r, err := p.call(ctx, sendTimeout, address, "Send", &h)
	if err == nil && r.Gap {
		return ErrGap
	}
	return err
}

// Ask implements Peers. After a broken connection it dials again: the answer to the
// second try shows what listens at the address now.
func (p *PeerClient) Ask(ctx context.Context, address, incarnation string) Answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for {
		r, err := p.call(ctx, askTimeout, address, "Ask", &AskRequest{})
		switch {
		case err == nil && r.Life == incarnation:
			return Alive
		case err == nil:
			return Replaced
		case errors.Is(err, syscall.ECONNREFUSED):
			return Refused
		case ctx.Err() != nil, errors.Is(err, context.DeadlineExceeded):
			return Silent
		}
	}
}

// Observe implements Peers.
func (p *PeerClient) Observe(ctx context.Context, observer, address, incarnation string) Answer {
	r, err := p.call(ctx, observeTimeout, observer, "Observe", &AskRequest{
		Address:     address,
		Incarnation: incarnation,
	})
	if err != nil {
		return Unasked
	}
	return r.Answer
}

// Fetch implements Peers.
func (p *PeerClient) Fetch(ctx context.Context, address, batch string) (Copy, bool) {
	r, err := p.call(ctx, fetchTimeout, address, "Fetch", &batch)
	return r.Copy, err == nil && r.Found
}

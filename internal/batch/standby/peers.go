package standby

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// receiver is the name of the calls between instances.
const receiver = "Standby"

// The times of calls.
const (
	// sendTimeout bounds one heartbeat, which may carry a step's texts.
	sendTimeout = 600 * time.Millisecond
	// askTimeout bounds a question to an owner; a living one answers within some
	// milliseconds.
	askTimeout = 250 * time.Millisecond
	// fetchTimeout bounds the question for a copy. What a batch is begun with waits for
	// it, and after a loss of power of all instances nobody has any.
	fetchTimeout = 150 * time.Millisecond
	// observeTimeout bounds a question by way of another instance.
	observeTimeout = askTimeout + 100*time.Millisecond
)

// Peers calls other instances.
type Peers interface {
	// Send brings a heartbeat to a successor. It returns ErrGap if the successor
	// lacks what came before.
	Send(ctx context.Context, address string, b Heartbeat) error
	// Ask asks an instance whether it is the given life.
	Ask(ctx context.Context, address, incarnation string) Answer
	// Observe has another instance ask.
	Observe(ctx context.Context, observer, address, incarnation string) Answer
	// Fetch returns the copy of a batch that another instance holds.
	Fetch(ctx context.Context, address, batch string) (Copy, bool)
}

// Server answers the calls of other instances.
type Server struct {
	Copies      *Copies
	Incarnation string
	Peers       Peers
	Timer       timer.Service
	// Heard is called for each heartbeat with its sender and the time of day there; nil
	// is not called.
	Heard func(instance string, wall time.Time)
}

// Register makes the server callable by other instances.
func (s *Server) Register(p *peer.Server) error { return p.Register(receiver, &calls{server: s}) }

// calls are the methods that other instances call.
type calls struct{ server *Server }

// Question names a life of an instance.
type Question struct {
	Address     string
	Incarnation string
}

// Reply answers any call.
type Reply struct {
	Gap    bool
	Life   string
	Answer Answer
	Copy   Copy
	Found  bool
}

// Send takes a heartbeat.
func (c *calls) Send(b *Heartbeat, r *Reply) error {
	err := c.server.Copies.Take(*b, c.server.Timer.Now())
	if c.server.Heard != nil {
		c.server.Heard(b.Owner.Instance, time.UnixMicro(b.UnixMicro))
	}
	r.Gap = errors.Is(err, ErrGap)
	return nil
}

// Ask answers which life this instance is.
func (c *calls) Ask(_ *Question, r *Reply) error {
	r.Life = c.server.Incarnation
	return nil
}

// Observe asks another instance.
func (c *calls) Observe(q *Question, r *Reply) error {
	r.Answer = c.server.Peers.Ask(context.Background(), q.Address, q.Incarnation)
	return nil
}

// Fetch answers with the copy of a batch.
func (c *calls) Fetch(batch *string, r *Reply) error {
	r.Copy, r.Found = c.server.Copies.Find(*batch)
	return nil
}

// PeerCalls calls other instances over their own protocol.
type PeerCalls struct {
	Client *peer.Client
}

func (p *PeerCalls) call(ctx context.Context, timeout time.Duration, address, method string, args any) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := &Reply{}
	err := p.Client.Call(ctx, address, receiver+"."+method, args, r)
	return r, err
}

// Send implements Peers.
func (p *PeerCalls) Send(ctx context.Context, address string, b Heartbeat) error {
	r, err := p.call(ctx, sendTimeout, address, "Send", &b)
	if err == nil && r.Gap {
		return ErrGap
	}
	return err
}

// Ask implements Peers. A connection that broke is opened anew: the answer to the
// second try tells what listens there now.
func (p *PeerCalls) Ask(ctx context.Context, address, incarnation string) Answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for {
		r, err := p.call(ctx, askTimeout, address, "Ask", &Question{})
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
func (p *PeerCalls) Observe(ctx context.Context, observer, address, incarnation string) Answer {
	r, err := p.call(ctx, observeTimeout, observer, "Observe", &Question{
		Address:     address,
		Incarnation: incarnation,
	})
	if err != nil {
		return Unasked
	}
	return r.Answer
}

// Fetch implements Peers.
func (p *PeerCalls) Fetch(ctx context.Context, address, batch string) (Copy, bool) {
	r, err := p.call(ctx, fetchTimeout, address, "Fetch", &batch)
	return r.Copy, err == nil && r.Found
}

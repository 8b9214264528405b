package watchrelay

import (
	"context"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// receiver is the name under which Server is registered for calls between instances.
const receiver = "Relay"

// Server answers the queries of other instances.
type Server struct {
	relay *Relay
}

// Register makes the copies available to other instances.
func (r *Relay) Register(server *peer.Server) error {
	return server.Register(receiver, &Server{
		relay: r,
	})
}

// canAnswer reports whether this instance is a watcher whose connection to the
// service works.
func (r *Relay) canAnswer() bool { return r.Connected() && len(r.watchersToAsk()) == 0 }

// Poll answers a query, at the latest after its wait.
func (s *Server) Poll(q *Query, reply *Reply) error {
	arrived := s.relay.Timer.Now()
	if s.relay.Clock != nil {
		reply.Time = s.relay.Clock.Estimate()
	}
	if !s.relay.canAnswer() {
		reply.Stale = true
		return nil
	}
	changes, signals := s.relay.changesFor(q)
	if len(changes) == 0 && q.WaitMS > 0 {
		s.relay.waitForChange(time.Duration(q.WaitMS)*time.Millisecond, signals)
		if !s.relay.Connected() {
			reply.Stale = true
			return nil
		}
		changes, _ = s.relay.changesFor(q)
	}
	reply.News = changes
	reply.Current = s.relay.confirmationsFor(q, arrived)
	reply.Heard = s.relay.heardLeads(q.After, arrived)
	return nil
}

// List answers with the listing of a prefix.
func (s *Server) List(prefix *string, reply *ListReply) error {
	arrived := s.relay.Timer.Now()
	c := s.relay.copies[*prefix]
	if c == nil || !s.relay.canAnswer() {
		reply.Stale = true
		return nil
	}
	var ok bool
	reply.Listing, ok = c.listing()
	reply.Stale = !ok
	reply.Heard = s.relay.Source(*prefix).HeardAt.Sub(arrived)
	return nil
}

// confirmationsFor returns the last confirmations of the copies that a query asks for.
// arrived is the instant at which the query arrived.
func (r *Relay) confirmationsFor(q *Query, arrived timer.Instant) map[string]Confirmation {
	var current map[string]Confirmation
	for prefix := range q.After {
		c := r.copies[prefix]
		if c == nil {
			continue
		}
		revision, at := c.lastConfirmed()
		if at == 0 {
			continue
		}
		if current == nil {
			current = make(map[string]Confirmation)
		}
		current[prefix] = Confirmation{
			Revision: revision,
			Lead:     at.Sub(arrived),
		}
	}
	return current
}

// changesFor returns the changes that a query asks for, by prefix, and channels that
// are closed at the next changes.
func (r *Relay) changesFor(q *Query) (map[string]PrefixChanges, []<-chan struct{}) {
	changesByPrefix := make(map[string]PrefixChanges)
	var signals []<-chan struct{}
	for prefix, after := range q.After {
		c := r.copies[prefix]
		if c == nil {
			changesByPrefix[prefix] = PrefixChanges{
				Behind: true,
			}
			continue
		}
		changes, revision, next, ok := c.changesAfter(after)
		signals = append(signals, next)
		if !ok || len(changes) > 0 {
			changesByPrefix[prefix] = PrefixChanges{
				Behind:   !ok,
				Changes:  changes,
				Revision: revision,
			}
		}
	}
	return changesByPrefix, signals
}

// waitForChange waits until one of the signals is closed or a duration has passed. It
// uses the first maxCopies signals.
func (r *Relay) waitForChange(d time.Duration, signals []<-chan struct{}) {
	timeout := r.Timer.Once(d)
	defer timeout.Close()
	var c [maxCopies]<-chan struct{}
	copy(c[:], signals)
	select {
	case <-c[0]:
	case <-c[1]:
	case <-c[2]:
	case <-c[3]:
	case <-timeout.C:
	}
}

// PeerClient implements Peers.
type PeerClient struct {
	Client *peer.Client
}

// Poll implements Peers.
func (p *PeerClient) Poll(ctx context.Context, address string, q Query) (Reply, error) {
	var reply Reply
	err := p.Client.Call(ctx, address, receiver+".Poll", &q, &reply)
	return reply, err
}

// List implements Peers.
func (p *PeerClient) List(ctx context.Context, address, prefix string) (ListReply, error) {
	var reply ListReply
	err := p.Client.Call(ctx, address, receiver+".List", &prefix, &reply)
	return reply, err
}

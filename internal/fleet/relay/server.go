package relay

import (
	"context"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// receiver is the name of the calls between instances.
const receiver = "Relay"

// Server answers the queries of other instances.
type Server struct {
	space *Space
}

// Register lets other instances ask this one.
func (s *Space) Register(server *peer.Server) error {
	return server.Register(receiver, &Server{
		space: s,
	})
}

// answers reports whether this instance is a watcher that surely hears the
// service.
func (s *Space) answers() bool { return s.Hears() && len(s.ask()) == 0 }

// Poll answers one query.
func (s *Server) Poll(q *Query, r *Reply) error {
	arrived := s.space.Timer.Now()
	if s.space.Clock != nil {
		r.Time = s.space.Clock.Read()
	}
	if !s.space.answers() {
		r.Stale = true
		return nil
	}
	news, waits := s.space.news(q)
	if len(news) == 0 && q.WaitMS > 0 {
		s.space.wait(time.Duration(q.WaitMS)*time.Millisecond, waits)
		if !s.space.Hears() {
			r.Stale = true
			return nil
		}
		news, _ = s.space.news(q)
	}
	r.News = news
	r.Current = s.space.current(q, arrived)
	return nil
}

// List answers with a whole prefix.
func (s *Server) List(prefix *string, w *Whole) error {
	c := s.space.copies[*prefix]
	if c == nil || !s.space.answers() {
		w.Stale = true
		return nil
	}
	var ok bool
	w.Listing, ok = c.listing()
	w.Stale = !ok
	return nil
}

// current says how current the copies of the prefixes in a query are.
func (s *Space) current(q *Query, arrived timer.Instant) map[string]Current {
	var current map[string]Current
	for prefix := range q.After {
		c := s.copies[prefix]
		if c == nil {
			continue
		}
		revision, at := c.current()
		if at == 0 {
			continue
		}
		if current == nil {
			current = make(map[string]Current)
		}
		current[prefix] = Current{
			Revision: revision,
			Lead:     at.Sub(arrived),
		}
	}
	return current
}

// news returns what changed, and the channels that tell of the next changes.
func (s *Space) news(q *Query) (map[string]News, []<-chan struct{}) {
	news := make(map[string]News)
	var waits []<-chan struct{}
	for prefix, after := range q.After {
		c := s.copies[prefix]
		if c == nil {
			news[prefix] = News{
				Behind: true,
			}
			continue
		}
		changes, revision, next, ok := c.since(after)
		waits = append(waits, next)
		if !ok || len(changes) > 0 {
			news[prefix] = News{
				Behind:   !ok,
				Changes:  changes,
				Revision: revision,
			}
		}
	}
	return news, waits
}

// wait waits for any of the copies that are followed, mostShared at most.
func (s *Space) wait(d time.Duration, waits []<-chan struct{}) {
	sub := s.Timer.Once(d)
	defer sub.Close()
	var c [mostShared]<-chan struct{}
	copy(c[:], waits)
	select {
	case <-c[0]:
	case <-c[1]:
	case <-c[2]:
	case <-sub.C:
	}
}

// PeerCalls implements Peers.
type PeerCalls struct {
	Client *peer.Client
}

// Poll implements Peers.
func (p *PeerCalls) Poll(ctx context.Context, address string, q Query) (Reply, error) {
	var r Reply
	err := p.Client.Call(ctx, address, receiver+".Poll", &q, &r)
	return r, err
}

// List implements Peers.
func (p *PeerCalls) List(ctx context.Context, address, prefix string) (Whole, error) {
	var w Whole
	err := p.Client.Call(ctx, address, receiver+".List", &prefix, &w)
	return w, err
}

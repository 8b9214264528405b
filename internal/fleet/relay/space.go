package relay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// How watchers are chosen and asked.
const (
	// followers is how many instances hear from one watcher: 24 answers a
	// second at most, some milliseconds of processor time.
	followers = 16
	// spareWatchers stand by, so that the death of one leaves no gap.
	spareWatchers = 1
	// askedWatchers is how many are asked before the service itself.
	askedWatchers = 2
	// relayWait is how long a watch waits at a watcher. It bounds how late a
	// follower notices that its watcher fell silent; a change must be known
	// everywhere within two seconds.
	relayWait = 700 * time.Millisecond
	// relayTimeout is what an answer may take beyond its wait.
	relayTimeout = 300 * time.Millisecond
)

// View tells which instances there are.
type View interface {
	Members() []registry.Member
	Self() registry.Member
}

// Peers asks other instances for changes.
type Peers interface {
	Poll(ctx context.Context, address string, q Query) (Reply, error)
}

// Query asks for the changes of a prefix after a revision.
type Query struct {
	Prefix string
	After  uint64
	WaitMS int64
}

// Reply is the answer of a watcher. Stale says that it does not surely hear the
// service, Behind that its copy does not reach back far enough.
type Reply struct {
	Stale    bool
	Behind   bool
	Changes  []keyvalue.Change
	Revision uint64
}

// Space is a keyvalue.Space whose watches of copied prefixes go to watchers.
// Listings go to the service: they are rare, and a copy may be behind.
type Space struct {
	keyvalue.Space
	Registry View
	Peers    Peers
	Timer    timer.Service
	// Hears reports whether this instance surely hears the service.
	Hears func() bool

	copies map[string]*Copy
}

// Copy begins a copy of a prefix. It is called before anything runs.
func (s *Space) Copy(prefix string) *Copy {
	if s.copies == nil {
		s.copies = make(map[string]*Copy)
	}
	c := &Copy{}
	s.copies[prefix] = c
	return c
}

// Turn tells all who wait here that this instance no longer hears the service.
func (s *Space) Turn() {
	for _, c := range s.copies {
		c.Turn()
	}
}

// Watchers returns the instances that follow the service, of those given: a
// share of all by a rendezvous hash, so that views that differ a little agree on
// nearly all of them.
func Watchers(members []registry.Member) []registry.Member {
	var list []registry.Member
	for _, m := range members {
		if !m.Leaving {
			list = append(list, m)
		}
	}
	n := (len(list)+followers-1)/followers + spareWatchers
	return rank(list, "watch")[:min(n, len(list))]
}

// rank orders members by their rendezvous hash with a key.
func rank(members []registry.Member, key string) []registry.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b registry.Member) int {
		return cmp.Compare(member.Score(b.Name, key), member.Score(a.Name, key))
	})
	return ranked
}

// ask returns whom to ask, or nothing if this instance is a watcher itself.
func (s *Space) ask() []registry.Member {
	self := s.Registry.Self().Name
	watchers := Watchers(s.Registry.Members())
	if slices.ContainsFunc(watchers, func(m registry.Member) bool { return m.Name == self }) {
		return nil
	}
	list := rank(watchers, self)
	return list[:min(askedWatchers, len(list))]
}

// Watch implements keyvalue.Space.
func (s *Space) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	if s.copies[prefix] == nil {
		return s.Space.Watch(ctx, prefix, after, wait)
	}
	asked := s.ask()
	if len(asked) == 0 {
		return s.Space.Watch(ctx, prefix, after, wait)
	}
	q := Query{
		Prefix: prefix,
		After:  after,
		WaitMS: min(wait, relayWait).Milliseconds(),
	}
	for _, m := range asked {
		r, err := s.poll(ctx, m, q)
		if err == nil && r.Behind {
			return nil, 0, keyvalue.ErrCompacted
		}
		if err == nil {
			return r.Changes, r.Revision, nil
		}
		// The time that the first one took is gone; the next one answers with
		// what it has.
		q.WaitMS = 0
	}
	return s.Space.Watch(ctx, prefix, after, min(wait, relayWait))
}

var errStale = errors.New("the watcher does not surely hear the key-value service")

func (s *Space) poll(ctx context.Context, m registry.Member, q Query) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMS)*time.Millisecond+relayTimeout)
	defer cancel()
	r, err := s.Peers.Poll(ctx, m.PeerAddress, q)
	if err == nil && r.Stale {
		err = errStale
	}
	return r, err
}

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

// Poll answers one query.
func (s *Server) Poll(q *Query, r *Reply) error {
	c := s.space.copies[q.Prefix]
	if c == nil || !s.space.Hears() || len(s.space.ask()) > 0 {
		r.Stale = true
		return nil
	}
	changes, revision, next, ok := c.since(q.After)
	if ok && len(changes) == 0 && q.WaitMS > 0 {
		wait := s.space.Timer.Once(time.Duration(q.WaitMS) * time.Millisecond)
		defer wait.Close()
		select {
		case <-next:
		case <-wait.C:
		}
		if !s.space.Hears() {
			r.Stale = true
			return nil
		}
		changes, revision, _, ok = c.since(q.After)
	}
	r.Changes, r.Revision, r.Behind = changes, revision, !ok
	return nil
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

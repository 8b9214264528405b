package relay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/fleet/timeofday"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// How watchers are chosen and asked.
const (
	// followers is how many instances hear from one watcher: some fifty answers
	// a second at most, a hundredth of a large instance's processor. Each watcher
	// costs a call of the service for each change of the list of upstreams.
	followers = 24
	// spareWatchers stand by, so that the death of one leaves no gap.
	spareWatchers = 1
	// askedWatchers is how many are asked before the service itself. The service
	// may turn a third of all instances away: with two asked, one follower in
	// nine went to the service by itself, with a call for each prefix a second.
	askedWatchers = 4
	// relayWait is how long a watch waits at a watcher. It bounds how late a
	// follower notices that its watcher fell silent; a change must be known
	// everywhere within two seconds.
	relayWait = 900 * time.Millisecond
	// eagerWait is how long a watch waits at a watcher when a confirmation is needed.
	eagerWait = 100 * time.Millisecond
	// relayTimeout is what an answer may take beyond its wait.
	relayTimeout = 300 * time.Millisecond
	// listTimeout is what a whole prefix may take: a configuration of two
	// thousand routes is half a megabyte, a tenth of a second on the smallest
	// link.
	listTimeout = 800 * time.Millisecond
)

// mostShared is how many prefixes are copied: the configuration, the list of
// upstreams and the instances.
const mostShared = 3

// View tells which instances there are.
type View interface {
	Members() []registry.Member
	Self() registry.Member
}

// Peers asks other instances for changes.
type Peers interface {
	Poll(ctx context.Context, address string, q Query) (Reply, error)
	List(ctx context.Context, address, prefix string) (Whole, error)
}

// Clock estimates the time of day.
type Clock interface {
	Read() timeofday.Reading
	// Adopt takes the estimate of another instance, made at an instant or just after.
	Adopt(r timeofday.Reading, at timer.Instant)
}

// Query asks for the changes of prefixes after revisions.
type Query struct {
	After  map[string]uint64
	WaitMS int64
}

// Reply is the answer of a watcher. Stale says that it does not surely hear the
// service.
type Reply struct {
	Stale bool
	News  map[string]News
	// Time is the watcher's estimate of the time of day when the query arrived.
	Time timeofday.Reading
	// Current says how current the watcher's copies are, of those for which that
	// is known.
	Current map[string]Current
}

// Current says that the newest item of a copy was current at a moment.
type Current struct {
	// Revision is that of the newest item.
	Revision uint64
	// Lead is how long after the query arrived that moment was; it is mostly
	// negative. The query was sent before it arrived, so its sender may count from
	// the moment at which it sent it.
	Lead time.Duration
}

// News is what changed below one prefix. Behind says that the watcher's copy
// does not reach back far enough.
type News struct {
	Behind   bool
	Changes  []keyvalue.Change
	Revision uint64
}

// Whole is a prefix as a watcher knows it. Stale says that the watcher does not
// surely hear the service.
type Whole struct {
	Stale   bool
	Listing keyvalue.Listing
}

// Space is a keyvalue.Space whose watches and listings of copied prefixes go to
// watchers. Nobody takes a listing that is behind what it has heard already.
type Space struct {
	keyvalue.Space
	Registry View
	Peers    Peers
	Timer    timer.Service
	// Hears reports whether this instance surely hears the service.
	Hears func() bool
	// Confirmed is called when a watcher says that the newest item below a prefix, of
	// a revision, was current at an instant; nil is not called.
	Confirmed func(prefix string, revision uint64, at timer.Instant)
	// Clock takes the watcher's estimate of the time of day; nil takes none.
	Clock Clock
	// Eager reports whether this instance waits for Confirmed, so that its queries
	// should be answered soon also without news; nil means never.
	Eager func() bool

	copies map[string]*Copy
	follow follower
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

// Watchers returns the instances that follow the service, of those given: some
// of the able ones by a rendezvous hash, so that views that differ a little agree
// on nearly all of them. Able instances show that they live more often, and have
// the processor and the link for many followers.
func Watchers(members []registry.Member) []registry.Member {
	staying := 0
	for _, m := range members {
		if !m.Leaving {
			staying++
		}
	}
	able := registry.Able(members)
	n := (staying+followers-1)/followers + spareWatchers
	return rank(able, "watch")[:min(n, len(able))]
}

// rank orders members by their rendezvous hash with a key.
func rank(members []registry.Member, key string) []registry.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b registry.Member) int {
		return cmp.Compare(member.Score(b.Name, key), member.Score(a.Name, key))
	})
	return ranked
}

// Watches reports whether this instance is a watcher.
func (s *Space) Watches() bool {
	return contains(Watchers(s.Registry.Members()), s.Registry.Self().Name)
}

func contains(members []registry.Member, name string) bool {
	return slices.ContainsFunc(members, func(m registry.Member) bool { return m.Name == name })
}

// ask returns whom to ask, or nothing if this instance is a watcher itself.
func (s *Space) ask() []registry.Member {
	self := s.Registry.Self().Name
	watchers := Watchers(s.Registry.Members())
	if contains(watchers, self) {
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
	if len(s.ask()) == 0 {
		changes, revision, err := s.Space.Watch(ctx, prefix, after, wait)
		if err == nil {
			s.follow.hear(prefix, revision)
		}
		return changes, revision, err
	}
	news, err := s.follow.next(ctx, s, prefix, after)
	if errors.Is(err, errNoWatcher) {
		return s.Space.Watch(ctx, prefix, after, min(wait, relayWait))
	}
	if err == nil && news.Behind {
		err = keyvalue.ErrCompacted
	}
	return news.Changes, news.Revision, err
}

// Range implements keyvalue.Space.
func (s *Space) Range(ctx context.Context, prefix string, f keyvalue.Freshness) (keyvalue.Listing, error) {
	if s.copies[prefix] != nil {
		for _, m := range s.ask() {
			call, cancel := context.WithTimeout(ctx, listTimeout)
			whole, err := s.Peers.List(call, m.PeerAddress, prefix)
			cancel()
			if err == nil && !whole.Stale && whole.Listing.Revision >= s.follow.heard(prefix) {
				s.follow.hear(prefix, whole.Listing.Revision)
				return whole.Listing, nil
			}
		}
	}
	listing, err := s.Space.Range(ctx, prefix, f)
	if err == nil && s.copies[prefix] != nil {
		s.follow.hear(prefix, listing.Revision)
	}
	return listing, err
}

var errStale = errors.New("the watcher does not surely hear the key-value service")

func (s *Space) poll(ctx context.Context, m registry.Member, q Query) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMS)*time.Millisecond+relayTimeout)
	defer cancel()
	sent := s.Timer.Now()
	r, err := s.Peers.Poll(ctx, m.PeerAddress, q)
	if err != nil {
		return r, err
	}
	if r.Stale {
		return r, errStale
	}
	if s.Clock != nil {
		s.Clock.Adopt(r.Time, sent)
	}
	if s.Confirmed != nil {
		for prefix, c := range r.Current {
			s.Confirmed(prefix, c.Revision, sent.Add(c.Lead))
		}
	}
	return r, nil
}

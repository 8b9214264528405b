package watchrelay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/fleet/timeofday"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Number of watchers, and limits of the calls to them. A change that is made while the watchers of a
// follower fall silent takes the sum of these times to it at most, which must stay below Relay.Bound:
// coalesceDelay, pollWait and pollSlack for the watcher that it asks, pollSlack for the others, which
// are asked at the same time, and serviceTime.
const (
	// followersPerWatcher is the number of instances that one watcher serves: at
	// most some fifty answers a second, which take a hundredth of the processor of
	// a large instance. Each further watcher costs one call of the service for
	// each change of the list of upstreams.
	followersPerWatcher = 24
	// spareWatchers is the number of additional watchers, so that the loss of one
	// leaves enough of them.
	spareWatchers = 1
	// maxWatchersAsked is the number of watchers that a follower asks before it
	// calls the service itself. The service may reject the calls of a third of all
	// instances: with two watchers asked, one follower in nine called the service
	// itself, once a second for each prefix.
	maxWatchersAsked = 4
	// maxPollWait and minPollWait bound how long a watch waits at a watcher.
	maxPollWait = 900 * time.Millisecond
	minPollWait = 200 * time.Millisecond
	// eagerPollWait replaces the wait while Relay.NeedsConfirmation reports true.
	eagerPollWait = 100 * time.Millisecond
	// maxPollSlack and minPollSlack bound how much longer than its wait a poll may take.
	maxPollSlack = 300 * time.Millisecond
	minPollSlack = 150 * time.Millisecond
	// slackShare is the share of the time for both polls that each may take beyond its wait.
	slackShare = 0.2
	// serviceTime is the time for a call of the service itself.
	serviceTime = 500 * time.Millisecond
	// boundShare is the share of Relay.Bound that the sum may take; the rest is for the processor
	// and the links.
	boundShare = 0.9
	// defaultBound is used while Relay.Bound is zero.
	defaultBound = 2 * time.Second
	// serviceWait is how long a watch of the service waits if no watcher answers. Watchers are
	// tried again after it.
	serviceWait = avoidTime
	// listTimeout bounds a listing at a watcher: a configuration of two thousand
	// routes is half a megabyte, which takes a tenth of a second on the smallest
	// link.
	listTimeout = 800 * time.Millisecond
)

// maxCopies is the largest number of copied prefixes: the configuration, the list
// of upstreams, the instances and the evacuated failure domains.
const maxCopies = 4

// Membership lists the instances of the fleet.
type Membership interface {
	Members() []registry.Member
	Self() registry.Member
}

// Peers sends queries to other instances.
type Peers interface {
	Poll(ctx context.Context, address string, q Query) (Reply, error)
	List(ctx context.Context, address, prefix string) (ListReply, error)
}

// Clock estimates the time of day.
type Clock interface {
	Estimate() timeofday.Estimate
	// Adopt takes over the estimate of another instance, which was made at or just
	// after the given instant.
	Adopt(estimate timeofday.Estimate, at timer.Instant)
}

// Query asks for the changes of several prefixes, each after a revision.
type Query struct {
	After  map[string]uint64
	WaitMS int64
}

// Reply is the answer to a Query.
type Reply struct {
	// Stale means that the instance is not a watcher, or that its connection to the
	// service may be broken. News is then empty.
	Stale bool
	// News holds the changes by prefix.
	News map[string]PrefixChanges
	// Time is the watcher's estimate of the time of day when the query arrived.
	Time timeofday.Estimate
	// Current holds the last confirmation of the watcher's copies by prefix. A
	// prefix without a confirmation is absent.
	Current map[string]Confirmation
	// Heard holds, by prefix, the time from the arrival of the query to the instant at which
	// the watcher last heard from the service about it. It is used like Confirmation.Lead.
	Heard map[string]time.Duration
}

// Confirmation confirms that the newest item of a copy was current at some instant.
type Confirmation struct {
	// Revision is the revision of that item.
	Revision uint64
	// Lead is the time from the arrival of the query to that instant; it is mostly
	// negative. The sender of the query adds Lead to the instant at which it sent it.
	// That was before the arrival, so the result is never later than the true instant.
	Lead time.Duration
}

// PrefixChanges holds the changes below one prefix. Behind means that the watcher's copy
// does not reach back to the queried revision.
type PrefixChanges struct {
	Behind   bool
	Changes  []keyvalue.Change
	Revision uint64
}

// ListReply is the listing of a prefix from the copy of a watcher.
type ListReply struct {
	// Stale means that the instance is not a watcher, that its connection to the
	// service may be broken, or that it has not read the prefix yet.
	Stale   bool
	Listing keyvalue.Listing
	// Heard is the value of Reply.Heard for the prefix.
	Heard time.Duration
}

// Relay is a keyvalue.TransactionalStore whose watches and listings of copied prefixes go
// to watchers. A listing of a watcher with an older revision than one that was
// received before is rejected.
type Relay struct {
	keyvalue.TransactionalStore
	Registry Membership
	Peers    Peers
	Timer    timer.Service
	// Bound is the time within which a change must be known to this instance; zero means 2 s.
	Bound time.Duration
	// Connected reports whether this instance is sure that its connection to the service
	// works, so that its copies may be served to others.
	Connected func() bool
	// OnConfirmed is called when a watcher confirms that the newest item below a prefix
	// had the given revision at the given instant. It may be nil.
	OnConfirmed func(prefix string, revision uint64, at timer.Instant)
	// Clock takes over the watcher's estimate of the time of day. It may be nil.
	Clock Clock
	// NeedsConfirmation reports whether this instance waits for a call of OnConfirmed.
	// Watchers then answer its queries after eagerPollWait even if nothing changed. Nil
	// means never.
	NeedsConfirmation func() bool
	Journal           *journal.Journal
	// Metrics counts the queries; nil counts nothing.
	Metrics *Metrics

	copies  map[string]*Copy
	poller  watcherPoller
	sources sources
	health  health
	// asked is the result of watchersToAsk for the last view.
	asked atomic.Pointer[askedWatchers]
}

// askedWatchers are the watchers that an instance queries by a view of the instances.
type askedWatchers struct {
	self     string
	view     []registry.Member
	watchers []registry.Member
}

// isFor reports whether a was computed from a view, which is never changed in place.
func (a *askedWatchers) isFor(self string, view []registry.Member) bool {
	return a != nil && a.self == self && len(a.view) == len(view) && (len(view) == 0 || &a.view[0] == &view[0])
}

// AddCopy adds a copy of a prefix, to be filled by the caller. All copies must be
// added before the Relay is used.
func (r *Relay) AddCopy(prefix string) *Copy {
	if r.copies == nil {
		r.copies = make(map[string]*Copy)
	}
	c := &Copy{}
	r.copies[prefix] = c
	return c
}

// EndWaits ends the waits of all queries at this instance. It is called when the
// connection to the service is lost.
func (r *Relay) EndWaits() {
	for _, c := range r.copies {
		c.EndWaits()
	}
}

// Watchers returns those of the given instances that watch the service. They are
// chosen by a rendezvous hash within each failure domain, so that instances with
// slightly different views agree on nearly all of them, and only from the instances eligible for batches: these
// renew their registration more often and have the processor and the link for many
// followers.
func Watchers(members []registry.Member) []registry.Member {
	staying := 0
	for _, m := range members {
		if !m.Leaving {
			staying++
		}
	}
	eligible := registry.Eligible(members)
	n := (staying+followersPerWatcher-1)/followersPerWatcher + spareWatchers
	return spread(rank(eligible, "watch"), min(n, len(eligible)))
}

// spread returns n of the given members, which are ordered by rank: the first one of each failure
// domain, then the second one of each, and so on. The loss of a domain leaves the others.
func spread(ranked []registry.Member, n int) []registry.Member {
	list := make([]registry.Member, 0, n)
	picked := make([]bool, len(ranked))
	for round := 1; len(list) < n; round++ {
		byDomain := make(map[string]int)
		for i := range ranked {
			domain := ranked[i].FailureDomain
			byDomain[domain]++
			if !picked[i] && byDomain[domain] == round && len(list) < n {
				picked[i] = true
				list = append(list, ranked[i])
			}
		}
	}
	return list
}

// rank orders members by their rendezvous hash for a key.
func rank(members []registry.Member, key string) []registry.Member {
	type scored struct {
		score uint64
		index int
	}
	list := make([]scored, len(members))
	for i := range members {
		list[i] = scored{score: member.Score(members[i].Name, key), index: i}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]registry.Member, len(list))
	for i, s := range list {
		ranked[i] = members[s.index]
	}
	return ranked
}

// IsWatcher reports whether this instance is a watcher.
func (r *Relay) IsWatcher() bool { return len(r.watchersToAsk()) == 0 }

func contains(members []registry.Member, name string) bool {
	return slices.ContainsFunc(members, func(m registry.Member) bool { return m.Name == name })
}

// watchersToAsk returns the watchers to query, in order, or nothing if this instance
// is a watcher itself. It is computed once for each view, as each query and each
// answer needs it.
func (r *Relay) watchersToAsk() []registry.Member {
	self, view := r.Registry.Self().Name, r.Registry.Members()
	if known := r.asked.Load(); known.isFor(self, view) {
		return known.watchers
	}
	asked := &askedWatchers{
		self: self,
		view: view,
	}
	if watchers := Watchers(view); !contains(watchers, self) {
		asked.watchers = spread(rank(watchers, self), min(maxWatchersAsked, len(watchers)))
	}
	r.health.forget(asked.watchers)
	r.asked.Store(asked)
	return asked.watchers
}

// Watch implements keyvalue.TransactionalStore.
func (r *Relay) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	if r.copies[prefix] == nil {
		return r.TransactionalStore.Watch(ctx, prefix, after, wait)
	}
	if len(r.watchersToAsk()) == 0 {
		changes, revision, err := r.watchService(ctx, prefix, after, wait)
		if err == nil {
			r.poller.recordRevision(prefix, revision)
		}
		return changes, revision, err
	}
	polled, err := r.poller.next(ctx, r, prefix, after)
	if errors.Is(err, errNoWatcher) {
		r.Metrics.countService()
		return r.watchService(ctx, prefix, after, min(wait, serviceWait))
	}
	if err == nil && polled.Behind {
		err = keyvalue.ErrCompacted
	}
	return polled.Changes, polled.Revision, err
}

// watchService watches the service itself.
func (r *Relay) watchService(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	changes, revision, err := r.TransactionalStore.Watch(ctx, prefix, after, wait)
	if err == nil {
		r.NoteService(prefix)
	}
	return changes, revision, err
}

// Range implements keyvalue.TransactionalStore.
func (r *Relay) Range(ctx context.Context, prefix string, consistency keyvalue.Consistency) (keyvalue.Listing, error) {
	if r.copies[prefix] != nil {
		if listing, ok := r.listFromWatcher(ctx, prefix); ok {
			return listing, nil
		}
	}
	listing, err := r.TransactionalStore.Range(ctx, prefix, consistency)
	if err == nil && r.copies[prefix] != nil {
		r.poller.recordRevision(prefix, listing.Revision)
		r.NoteService(prefix)
	}
	return listing, err
}

// listFromWatcher returns the listing of the first watcher that has a current one. It stops at the
// first one that does not answer, as the bound has room for one only; an instance that has read nothing
// yet serves nobody, and asks one more, since the service can't bear the listings of a whole fleet.
func (r *Relay) listFromWatcher(ctx context.Context, prefix string) (keyvalue.Listing, bool) {
	silentAllowed := 0
	if r.poller.lastRevision(prefix) == 0 {
		silentAllowed = 1
	}
	sound, _ := r.health.split(r.watchersToAsk(), r.Timer.Now())
	for _, m := range sound {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		sent := r.Timer.Now()
		reply, err := r.Peers.List(callCtx, m.PeerAddress, prefix)
		cancel()
		if err == nil && reply.Stale {
			err = errStale
		}
		r.noteAnswer(m.Name, err)
		if err != nil && !errors.Is(err, errStale) {
			if silentAllowed == 0 {
				break
			}
			silentAllowed--
		}
		if err == nil && reply.Listing.Revision >= r.poller.lastRevision(prefix) {
			r.poller.recordRevision(prefix, reply.Listing.Revision)
			r.noteWatcher(m.Name, sent, map[string]time.Duration{prefix: reply.Heard})
			return reply.Listing, true
		}
	}
	return keyvalue.Listing{}, false
}

var errStale = errors.New("the watcher has no confirmed connection to the key-value service")

// pollTime returns the time for the waits and the slacks of both polls.
func (r *Relay) pollTime() time.Duration {
	bound := r.Bound
	if bound == 0 {
		bound = defaultBound
	}
	return time.Duration(boundShare*float64(bound)) - coalesceDelay - serviceTime
}

// pollSlack returns how much longer than its wait a poll may take.
func (r *Relay) pollSlack() time.Duration {
	return max(minPollSlack, min(maxPollSlack, time.Duration(slackShare*float64(r.pollTime()))))
}

// pollWait returns how long a watch waits at a watcher. A follower notices only at its end that the
// watcher no longer answers.
func (r *Relay) pollWait() time.Duration {
	return max(minPollWait, min(maxPollWait, r.pollTime()-2*r.pollSlack()))
}

// polled is the reply of a watcher to a query that was sent at an instant.
type polled struct {
	watcher string
	sent    timer.Instant
	reply   Reply
	err     error
}

// pollInOrder polls watchers one after the other while they are stale. If one is silent, it polls the
// others at the same time, which answer at once: a wait at each of them would add up.
func (r *Relay) pollInOrder(watchers []registry.Member, q Query) (Reply, error) {
	sound, unsure := r.health.split(watchers, r.Timer.Now())
	for len(sound) > 0 {
		p := r.poll(sound[0], q)
		sound = sound[1:]
		if p.err == nil {
			return r.accept(p), nil
		}
		if !errors.Is(p.err, errStale) {
			break
		}
	}
	q.WaitMS = 0
	return r.pollAtOnce(slices.Concat(sound, unsure), q)
}

// pollAtOnce polls several watchers at the same time and returns the first good reply.
func (r *Relay) pollAtOnce(watchers []registry.Member, q Query) (Reply, error) {
	results := make(chan polled, len(watchers))
	for _, m := range watchers {
		go func() { results <- r.poll(m, q) }()
	}
	for range watchers {
		if p := <-results; p.err == nil {
			return r.accept(p), nil
		}
	}
	return Reply{}, errNoWatcher
}

// poll sends a query to one watcher.
func (r *Relay) poll(m registry.Member, q Query) polled {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(q.WaitMS)*time.Millisecond+r.pollSlack())
	defer cancel()
	p := polled{
		watcher: m.Name,
		sent:    r.Timer.Now(),
	}
	p.reply, p.err = r.Peers.Poll(ctx, m.PeerAddress, q)
	if p.err == nil && p.reply.Stale {
		p.err = errStale
	}
	r.noteAnswer(m.Name, p.err)
	return p
}

// accept passes on the time of day and the confirmations in a reply, and returns it.
func (r *Relay) accept(p polled) Reply {
	r.noteWatcher(p.watcher, p.sent, p.reply.Heard)
	if r.Clock != nil {
		r.Clock.Adopt(p.reply.Time, p.sent)
	}
	if r.OnConfirmed != nil {
		for prefix, c := range p.reply.Current {
			r.OnConfirmed(prefix, c.Revision, p.sent.Add(c.Lead))
		}
	}
	return p.reply
}

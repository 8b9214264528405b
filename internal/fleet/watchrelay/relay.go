package watchrelay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/fleet/timeofday"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// listTimeout bounds a listing at a watcher: a configuration of two thousand routes
// is half a megabyte, which takes a tenth of a second on the smallest link.
const listTimeout = 800 * time.Millisecond

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
	// It can be kept from 1.5 s on.
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

// The shares of the bound of a prefix that a watch of the service takes: how long it waits, and how
// much longer its answer may take.
const (
	watchWaitShare  = 0.6
	watchSlackShare = 0.15
)

// watchService watches the service itself. A watch of a prefix with a bound that is not answered in
// time is made again over another connection, which returns at once what the first one did not hear. If
// that is not answered either, the service is slow, and more calls would make it slower: the third one
// waits as long as one of a prefix without a bound.
func (r *Relay) watchService(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	bound := r.copies[prefix].Bound
	if bound <= 0 {
		return r.watchOnce(ctx, prefix, after, wait)
	}
	slack := time.Duration(watchSlackShare * float64(bound))
	for _, wait := range []time.Duration{min(wait, time.Duration(watchWaitShare*float64(bound))), 0} {
		call, cancel := context.WithTimeout(ctx, wait+slack)
		changes, revision, err := r.watchOnce(call, prefix, after, wait)
		late := call.Err() != nil && ctx.Err() == nil
		cancel()
		if err == nil || !late {
			return changes, revision, err
		}
		r.Journal.Info("watch of the service hears nothing", log.Fields{
			"prefix":    prefix,
			"waited_ms": (wait + slack).Milliseconds(),
		})
	}
	return r.watchOnce(ctx, prefix, after, wait)
}

// watchOnce makes one watch of the service.
func (r *Relay) watchOnce(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
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
		// A long list that does not arrive in time is no reason to avoid the watcher.
		r.Metrics.countQuery(err)
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

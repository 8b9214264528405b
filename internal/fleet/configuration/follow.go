package configuration

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Limits of following the configuration.
const (
	// watchersPerDomain is the number of instances in each failure domain that watch
	// the key-value service. It does not grow with the fleet.
	watchersPerDomain = 2
	// fetchRetryInterval is the time between attempts to fetch a revision that gossip
	// announced and that could not be fetched at once.
	fetchRetryInterval = 500 * time.Millisecond
	// watcherCheckInterval is the time between checks whether this instance is a watcher.
	watcherCheckInterval = time.Second
	// peersOnlyTime is how long a new instance asks only peers for its first document.
	// The key-value service may answer with an older revision than the accepted one.
	peersOnlyTime = 2 * time.Second
	// watchTimeout bounds one watch call.
	watchTimeout = 20 * time.Second
	// noChangePause and errorPause are the pauses before the next watch after one
	// without a change and after one that failed. The service counts calls, and
	// without a pause one that answers at once would get many.
	noChangePause = 100 * time.Millisecond
	errorPause    = time.Second
	// pushCount is the number of peers that an accepted document is sent to before
	// the operator gets the answer.
	pushCount = 3
)

// Follower keeps a Holder up to date from peers and from the key-value service.
type Follower struct {
	Holder  *Holder
	Store   keyvalue.Store
	Table   *member.Table
	Client  *peer.Client
	Timer   timer.Service
	Journal *journal.Journal
	Rand    *rand.Rand
	Seeds   []string

	// lastUndecodable is the last revision logged as undecodable. It prevents logging
	// the same one again.
	lastUndecodable atomic.Uint64
}

// FetchArgs asks a peer for its document if the revision is higher than Above.
type FetchArgs struct {
	Above uint64
}

// FetchReply holds a document; a zero revision means none.
type FetchReply struct {
	Revision uint64
	Value    []byte
}

// PushArgs holds a document that is sent to a peer.
type PushArgs FetchReply

// Receiver serves the calls of other instances.
type Receiver struct {
	Holder *Holder
}

// Fetch returns the document in force if its revision is higher than the caller's.
func (r *Receiver) Fetch(args FetchArgs, reply *FetchReply) error {
	d := r.Holder.Current()
	if d == nil || d.Revision <= args.Above {
		return nil
	}
	value, err := d.WithoutHistory().Encode()
	reply.Revision = d.Revision
	reply.Value = value
	return err
}

// Push puts a document from a peer in force unless it is outdated.
func (r *Receiver) Push(args PushArgs, _ *struct{}) error {
	d, err := Decode(args.Value, args.Revision)
	if err != nil {
		return err
	}
	r.Holder.Update(d)
	return nil
}

// Run fetches the revisions that gossip announces until t dies.
func (f *Follower) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	started := f.Timer.Now()
	tick := f.Timer.Every(fetchRetryInterval)
	defer tick.Close()
	for {
		changed := f.Table.State.Changed(gossip.KindConfiguration)
		if f.Holder.Revision() == 0 {
			f.fetchFirst(ctx, f.Timer.Now().Sub(started) > peersOnlyTime)
		} else if f.Holder.GossipedRevision() > f.Holder.Revision() {
			f.fetchFromPeers(ctx)
		}
		select {
		case <-tick.C:
		case <-changed:
		case <-t.Dying():
			return nil
		}
	}
}

// fetchFirst fetches the first document from peers or, if askStore is set and no peer
// has one, from the key-value service.
func (f *Follower) fetchFirst(ctx context.Context, askStore bool) {
	f.fetchFromPeers(ctx)
	if f.Holder.Revision() == 0 && askStore {
		f.fetchFromStore(ctx)
	}
}

// fetchFromPeers asks two random peers for a newer document.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	for _, address := range f.randomPeers(2) {
		callCtx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
		var reply FetchReply
		err := f.Client.Call(callCtx, address, "Configuration.Fetch", FetchArgs{
			Above: f.Holder.Revision(),
		}, &reply)
		cancel()
		if err == nil && reply.Revision > 0 {
			f.apply(reply.Value, reply.Revision, "peer")
		}
	}
}

// randomPeers returns up to n random addresses of other instances, or of seeds if no
// other instance is known.
func (f *Follower) randomPeers(n int) []string {
	view := f.Table.View()
	var list []string
	for _, m := range view.Alive {
		if m.ID != view.Self.ID {
			list = append(list, m.PeerAddress)
		}
	}
	if len(list) == 0 {
		list = append(list, f.Seeds...)
	}
	f.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// Watch watches the key-value service while this instance is one of the watchers of
// its failure domain and has a document. It returns when t dies.
func (f *Follower) Watch(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for ctx.Err() == nil {
		if f.Table.View().TopInDomain(Key, watchersPerDomain) && f.Holder.Revision() > 0 {
			f.watchOnce(ctx)
			continue
		}
		timer.Wait(f.Timer, watcherCheckInterval, t.Dying())
	}
	return nil
}

// watchOnce waits for one change and pauses if there was none.
func (f *Follower) watchOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	item, err := f.Store.Watch(ctx, Key, f.Holder.Revision())
	switch {
	case err == nil:
		f.apply(item.Value, item.Revision, "key_value")
	case ctx.Err() != nil:
	case errors.Is(err, keyvalue.ErrNoChange):
		timer.Wait(f.Timer, noChangePause, ctx.Done())
	default:
		// The service is down or slow. The pause keeps the watchers from calling it
		// in a tight loop while it recovers.
		timer.Wait(f.Timer, errorPause, ctx.Done())
	}
}

// fetchFromStore reads the document from the key-value service.
func (f *Follower) fetchFromStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	item, err := f.Store.Get(ctx, Key)
	if err == nil {
		f.apply(item.Value, item.Revision, "key_value")
	}
}

// apply puts a document in force. If this version of the program cannot decode it,
// the previous document stays in force and the error is logged: applying part of a
// configuration would be worse than keeping the old one.
func (f *Follower) apply(value []byte, revision uint64, source string) {
	d, err := Decode(value, revision)
	if err != nil {
		if f.lastUndecodable.Swap(revision) != revision {
			f.Journal.Warn("configuration_not_understood", err, log.Fields{
				"revision":       revision,
				"in_force_still": f.Holder.Revision(),
			})
		}
		return
	}
	if f.Holder.Update(d) {
		f.Journal.Info("configuration_in_force", log.Fields{
			"revision": revision,
			"source":   source,
		})
	}
}

// Push sends a document to a few peers in other failure domains and waits for their
// answers. The accepted change then survives if this instance and the key-value
// service fail right after it.
func (f *Follower) Push(ctx context.Context, d *Document) {
	value, err := d.WithoutHistory().Encode()
	if err != nil {
		return
	}
	view := f.Table.View()
	targets := view.TopOutside(view.Self.FailureDomain, Key, pushCount)
	done := make(chan struct{}, len(targets))
	for _, m := range targets {
		go func() {
			defer func() { done <- struct{}{} }()
			if m.ID == view.Self.ID {
				return
			}
			callCtx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
			defer cancel()
			_ = f.Client.Call(callCtx, m.PeerAddress, "Configuration.Push", PushArgs{
				Revision: d.Revision,
				Value:    value,
			}, &struct{}{})
		}()
	}
	for range targets {
		<-done
	}
}

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

// How an instance follows the configuration.
const (
	// watchersPerDomain is how many instances of a failure domain ask the
	// key-value service. It doesn't grow with the fleet.
	watchersPerDomain = 2
	// followPeriod is how often an instance looks whether it lacks a revision
	// that it failed to fetch when it heard of it.
	followPeriod = 500 * time.Millisecond
	// watchPeriod is how often an instance looks whether it is a watcher.
	watchPeriod = time.Second
	// joinTime is how long a new instance asks peers only. The key-value
	// service may answer with an older revision than one that was accepted.
	joinTime = 2 * time.Second
	// watchTime bounds one waiting watch.
	watchTime = 20 * time.Second
	// noChangePause and downPause are waits before the next watch: calls are
	// counted, and a service that answers at once would get many.
	noChangePause = 100 * time.Millisecond
	downPause     = time.Second
	// pushCount is how many peers have a document before it counts as accepted.
	pushCount = 3
)

// Follower keeps a Holder up to date.
type Follower struct {
	Holder  *Holder
	Store   keyvalue.Store
	Table   *member.Table
	Client  *peer.Client
	Timer   timer.Service
	Journal *journal.Journal
	Rand    *rand.Rand
	Seeds   []string

	trouble atomic.Uint64
}

// FetchArgs asks a peer for a document above a revision.
type FetchArgs struct {
	Above uint64
}

// FetchReply carries a document, or none.
type FetchReply struct {
	Revision uint64
	Value    []byte
}

// PushArgs hands a document to a peer.
type PushArgs FetchReply

// Receiver answers other instances.
type Receiver struct {
	Holder *Holder
}

// Fetch returns the document in force if it is above what the peer has.
func (r *Receiver) Fetch(args FetchArgs, reply *FetchReply) error {
	d := r.Holder.Current()
	if d == nil || d.Revision <= args.Above {
		return nil
	}
	value, err := d.Bare().Encode()
	reply.Revision = d.Revision
	reply.Value = value
	return err
}

// Push takes a document from a peer.
func (r *Receiver) Push(args PushArgs, _ *struct{}) error {
	d, err := Decode(args.Value, args.Revision)
	if err != nil {
		return err
	}
	r.Holder.Take(d)
	return nil
}

// Run follows gossip until t dies.
func (f *Follower) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	started := f.Timer.Now()
	tick := f.Timer.Every(followPeriod)
	defer tick.Close()
	for {
		told := f.Table.State.Changed(gossip.KindConfiguration)
		if f.Holder.Revision() == 0 {
			f.first(ctx, f.Timer.Now().Sub(started) > joinTime)
		} else if f.Holder.Told() > f.Holder.Revision() {
			f.fetchFromPeers(ctx)
		}
		select {
		case <-tick.C:
		case <-told:
		case <-t.Dying():
			return nil
		}
	}
}

// first looks for the first document: at peers, and after a while also at the
// key-value service.
func (f *Follower) first(ctx context.Context, askStore bool) {
	f.fetchFromPeers(ctx)
	if f.Holder.Revision() == 0 && askStore {
		f.fetchFromStore(ctx)
	}
}

func (f *Follower) fetchFromPeers(ctx context.Context) {
	for _, address := range f.peers(2) {
		callCtx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
		var reply FetchReply
		err := f.Client.Call(callCtx, address, "Configuration.Fetch", FetchArgs{
			Above: f.Holder.Revision(),
		}, &reply)
		cancel()
		if err == nil && reply.Revision > 0 {
			f.take(reply.Value, reply.Revision, "peer")
		}
	}
}

// peers returns n random addresses of others.
func (f *Follower) peers(n int) []string {
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

// Watch asks the key-value service while this instance is one of the watchers
// of its failure domain.
func (f *Follower) Watch(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for ctx.Err() == nil {
		if f.Table.View().TopInDomain(Key, watchersPerDomain) && f.Holder.Revision() > 0 {
			f.watchOnce(ctx)
			continue
		}
		timer.Wait(f.Timer, watchPeriod, t.Dying())
	}
	return nil
}

func (f *Follower) watchOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	item, err := f.Store.Watch(ctx, Key, f.Holder.Revision())
	switch {
	case err == nil:
		f.take(item.Value, item.Revision, "key_value")
	case ctx.Err() != nil:
	case errors.Is(err, keyvalue.ErrNoChange):
		timer.Wait(f.Timer, noChangePause, ctx.Done())
	default:
		// The service is down or slow; a pause keeps all watchers from calling
		// it in a tight loop while it comes back.
		timer.Wait(f.Timer, downPause, ctx.Done())
	}
}

func (f *Follower) fetchFromStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	item, err := f.Store.Get(ctx, Key)
	if err == nil {
		f.take(item.Value, item.Revision, "key_value")
	}
}

// take puts a document in force. One that this program can't understand stays
// out, the last one stays in force, and the log says so: a half understood
// configuration would be worse than yesterday's.
func (f *Follower) take(value []byte, revision uint64, source string) {
	d, err := Decode(value, revision)
	if err != nil {
		if f.trouble.Swap(revision) != revision {
			f.Journal.Trouble("configuration_not_understood", err, log.Fields{
				"revision":       revision,
				"in_force_still": f.Holder.Revision(),
			})
		}
		return
	}
	if f.Holder.Take(d) {
		f.Journal.Event("configuration_in_force", log.Fields{
			"revision": revision,
			"source":   source,
		})
	}
}

// Push hands a document to a few peers in other failure domains and waits for
// them. An accepted change is then known to survivors when this instance and
// the key-value service fail in the next moment.
func (f *Follower) Push(ctx context.Context, d *Document) {
	value, err := d.Bare().Encode()
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

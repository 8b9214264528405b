package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// How often instances talk.
const (
	// ExchangePeriod is the time between two exchanges of an instance.
	ExchangePeriod = 500 * time.Millisecond
	// watched is the number of successors that an instance watches.
	watched = 3
	// eagerFanout is how many instances hear at once of something new.
	eagerFanout = 3
	// pauseGap is a gap between ticks that only a paused process can have.
	pauseGap = 4 * ExchangePeriod
)

// Exchanger talks to other instances: in turn to its successors on the ring,
// which it so watches, and to random ones, which spreads news.
type Exchanger struct {
	Table   *Table
	Client  *peer.Client
	Timer   timer.Service
	Journal *journal.Journal
	Rand    *rand.Rand
	Seeds   []string
	// SelfLoad tells the share of its capacity that this instance uses.
	SelfLoad func() float64

	turn     int
	watching int
	last     timer.Instant
}

// Run exchanges until t dies. News is passed on at once, but not more often
// than every tenth of a period, so that a burst of news is one burst of calls.
func (x *Exchanger) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	tick := x.Timer.Every(ExchangePeriod)
	defer tick.Close()
	wake := x.Table.State.Wake()
	x.last = x.Timer.Now()
	x.joinSeeds(ctx)
	for {
		select {
		case now := <-tick.C:
			x.round(ctx, now)
		case <-wake:
			x.spread(ctx)
			if !timer.Wait(x.Timer, ExchangePeriod/10, t.Dying()) {
				return nil
			}
		case <-t.Dying():
			x.spread(context.Background())
			return nil
		}
	}
}

func (x *Exchanger) round(ctx context.Context, now timer.Instant) {
	if now.Sub(x.last) > pauseGap {
		x.Table.Forgive()
	}
	x.last = now
	for _, m := range x.Table.Tick() {
		x.Journal.Event("member_dead", log.Fields{
			"member":         m.ID,
			"failure_domain": m.FailureDomain,
		})
	}
	x.Table.State.Expire(wallSeconds())
	x.turn++
	if x.turn%2 == 0 {
		x.watch(ctx)
		return
	}
	x.gossip(ctx)
}

// watch talks to the next successor. One that does not answer is asked again
// the next time, and counted against, until it answers or is suspected; so a
// dead one is found in three seconds, however many others are watched.
func (x *Exchanger) watch(ctx context.Context) {
	next := x.Table.View().Successors(watched)
	if len(next) == 0 {
		x.joinSeeds(ctx)
		return
	}
	m := next[x.watching%len(next)]
	started := x.Timer.Now()
	err := x.with(ctx, m.ID, m.PeerAddress)
	if err == nil {
		x.watching++
		return
	}
	// A call that took longer than its deadline tells of a pause of this
	// process, not of the other one.
	if x.Timer.Now().Sub(started) > 2*peer.CallTimeout {
		return
	}
	if m.Status != Alive {
		x.watching++
		return
	}
	if x.Table.Missed(m.ID) {
		x.watching++
		x.Journal.Trouble("member_suspect", err, log.Fields{
			"member": m.ID,
		})
	}
}

// Every so many turns an instance talks to a seed, and to one that may be
// dead: it is how two sides of a cut find each other again.
const (
	seedEvery = 64
	deadEvery = 16
)

// gossip talks to a random instance.
func (x *Exchanger) gossip(ctx context.Context) {
	if x.turn%seedEvery == 1 {
		x.joinSeeds(ctx)
		return
	}
	if m, ok := x.pick(x.turn%deadEvery == 9); ok {
		_ = x.with(ctx, m.ID, m.PeerAddress)
	}
}

func (x *Exchanger) pick(anyStatus bool) (Member, bool) {
	view := x.Table.View()
	var list []Member
	for _, m := range view.Known {
		if m.ID != view.Self.ID && (anyStatus || m.Status == Alive) {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return Member{}, false
	}
	return list[x.Rand.IntN(len(list))], true
}

// spread passes news on to a few instances at once.
func (x *Exchanger) spread(ctx context.Context) {
	done := make(chan struct{}, eagerFanout)
	n := 0
	for range eagerFanout {
		m, ok := x.pick(false)
		if !ok {
			break
		}
		n++
		go func() {
			_ = x.with(ctx, m.ID, m.PeerAddress)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
}

// joinSeeds exchanges with one of the configured peers. The connection is
// closed after it: all instances have the same few seeds, which would otherwise
// hold a connection to each instance of the fleet.
func (x *Exchanger) joinSeeds(ctx context.Context) {
	if len(x.Seeds) == 0 {
		return
	}
	seed := x.Seeds[x.Rand.IntN(len(x.Seeds))]
	_ = x.with(ctx, "", seed)
	x.Client.Forget(seed)
}

// with runs one exchange with the instance at address.
func (x *Exchanger) with(ctx context.Context, id, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	state := x.Table.State
	args := state.Ask(x.Table.Self().ID)
	for {
		args.Load = x.load()
		var reply gossip.Reply
		if err := x.Client.Call(ctx, address, "Gossip.Exchange", args, &reply); err != nil {
			return err
		}
		if id != "" {
			x.Table.Reached(id, reply.Load)
		}
		next, more := state.Take(args.From, reply, wallSeconds())
		if !more || args.Digest != nil {
			return nil
		}
		args = next
	}
}

func (x *Exchanger) load() float64 {
	if x.SelfLoad == nil {
		return 0
	}
	return x.SelfLoad()
}

// Receiver answers the exchanges of other instances.
type Receiver struct {
	Table    *Table
	SelfLoad func() float64
}

// Exchange is called by other instances.
func (r *Receiver) Exchange(args gossip.Args, reply *gossip.Reply) error {
	*reply = r.Table.State.Answer(args, wallSeconds())
	if r.SelfLoad != nil {
		reply.Load = r.SelfLoad()
	}
	if args.From != "" {
		r.Table.Reached(args.From, args.Load)
	}
	return nil
}

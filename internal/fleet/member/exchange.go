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

// Periods and fan-out of the exchanges.
const (
	// ExchangePeriod is the time between two exchanges that an instance starts.
	ExchangePeriod = 500 * time.Millisecond
	// probedSuccessors is the number of ring successors that an instance probes.
	probedSuccessors = 3
	// eagerFanout is the number of instances that a change is pushed to at once.
	eagerFanout = 3
	// pauseThreshold is the gap between two ticks above which this process must
	// have been paused.
	pauseThreshold = 4 * ExchangePeriod
)

// Exchanger exchanges gossip with other instances. It alternates between its
// successors on the ring, which probes them for failures, and random instances,
// which spreads changes through the fleet.
type Exchanger struct {
	Table   *Table
	Client  *peer.Client
	Timer   timer.Service
	Journal *journal.Journal
	Rand    *rand.Rand
	// Seeds are the configured peer addresses.
	Seeds []string
	// SelfLoad returns the share of its capacity that this instance uses, from
	// 0 to 1; nil reports 0.
	SelfLoad func() float64

	// rounds is the number of rounds run so far.
	rounds int
	// nextSuccessor selects the successor to probe next, modulo their number.
	nextSuccessor int
	lastRound     timer.Instant
}

// Run exchanges gossip until t dies. Changes are pushed at once, but at most
// once in a tenth of ExchangePeriod, so that a burst of changes causes a single
// burst of calls.
func (x *Exchanger) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	tick := x.Timer.Every(ExchangePeriod)
	defer tick.Close()
	wake := x.Table.State.Wake()
	x.lastRound = x.Timer.Now()
	x.exchangeWithSeed(ctx)
	for {
		select {
		case now := <-tick.C:
			x.runRound(ctx, now)
		case <-wake:
			x.pushChanges(ctx)
			if !timer.Wait(x.Timer, ExchangePeriod/10, t.Dying()) {
				return nil
			}
		case <-t.Dying():
			x.pushChanges(context.Background())
			return nil
		}
	}
}

// runRound updates the statuses of the members and makes one exchange.
func (x *Exchanger) runRound(ctx context.Context, now timer.Instant) {
	if now.Sub(x.lastRound) > pauseThreshold {
		x.Table.ResetMisses()
	}
	x.lastRound = now
	for _, m := range x.Table.Tick() {
		x.Journal.Info("member_dead", log.Fields{
			"member":         m.ID,
			"failure_domain": m.FailureDomain,
		})
	}
	x.Table.State.Expire(wallSeconds())
	x.rounds++
	if x.rounds%2 == 0 {
		x.probeSuccessor(ctx)
		return
	}
	x.exchangeWithRandom(ctx)
}

// probeSuccessor exchanges with the next successor. One that does not answer is
// probed again the next time, and its misses are counted, until it answers or
// becomes suspect. A dead instance is therefore detected in three seconds,
// however many others are probed.
func (x *Exchanger) probeSuccessor(ctx context.Context) {
	successors := x.Table.View().Successors(probedSuccessors)
	if len(successors) == 0 {
		x.exchangeWithSeed(ctx)
		return
	}
	m := successors[x.nextSuccessor%len(successors)]
	started := x.Timer.Now()
	err := x.exchange(ctx, m.ID, m.PeerAddress)
	if err == nil {
		x.nextSuccessor++
		return
	}
	// A call that took longer than its deadline means that this process was
	// paused; it says nothing about the other instance.
	if x.Timer.Now().Sub(started) > 2*peer.CallTimeout {
		return
	}
	if m.Status != Alive {
		x.nextSuccessor++
		return
	}
	if x.Table.RecordMiss(m.ID) {
		x.nextSuccessor++
		x.Journal.Warn("member_suspect", err, log.Fields{
			"member": m.ID,
		})
	}
}

// Intervals, in rounds, at which an instance contacts a seed, or picks its peer
// from all known instances, dead ones included. The two sides of a network
// partition find each other again in this way.
const (
	seedInterval      = 64
	anyStatusInterval = 16
)

// exchangeWithRandom exchanges with a random instance, or with a seed when one
// is due.
func (x *Exchanger) exchangeWithRandom(ctx context.Context) {
	if x.rounds%seedInterval == 1 {
		x.exchangeWithSeed(ctx)
		return
	}
	if m, ok := x.randomMember(x.rounds%anyStatusInterval == 9); ok {
		_ = x.exchange(ctx, m.ID, m.PeerAddress)
	}
}

// randomMember returns a random instance other than self: an alive one, or one
// of any status if anyStatus is set. It returns false if there is none.
func (x *Exchanger) randomMember(anyStatus bool) (Member, bool) {
	view := x.Table.View()
	var candidates []Member
	for _, m := range view.Known {
		if m.ID != view.Self.ID && (anyStatus || m.Status == Alive) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	return candidates[x.Rand.IntN(len(candidates))], true
}

// pushChanges exchanges concurrently with up to eagerFanout random instances
// and waits for all of them.
func (x *Exchanger) pushChanges(ctx context.Context) {
	done := make(chan struct{}, eagerFanout)
	n := 0
	for range eagerFanout {
		m, ok := x.randomMember(false)
		if !ok {
			break
		}
		n++
		go func() {
			_ = x.exchange(ctx, m.ID, m.PeerAddress)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
}

// exchangeWithSeed exchanges with a random seed and then closes the connection.
// All instances have the same few seeds, each of which would otherwise hold a
// connection to every instance of the fleet.
func (x *Exchanger) exchangeWithSeed(ctx context.Context) {
	if len(x.Seeds) == 0 {
		return
	}
	seed := x.Seeds[x.Rand.IntN(len(x.Seeds))]
	_ = x.exchange(ctx, "", seed)
	x.Client.CloseIdle(seed)
}

// exchange runs one exchange with the instance at address. id is empty if it is
// not known which instance has this address.
func (x *Exchanger) exchange(ctx context.Context, id, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	state := x.Table.State
	args := state.NewExchange(x.Table.Self().ID)
	for {
		args.Load = x.load()
		var reply gossip.Reply
		if err := x.Client.Call(ctx, address, "Gossip.Exchange", args, &reply); err != nil {
			return err
		}
		if id != "" {
			x.Table.RecordReply(id, reply.Load)
		}
		next, more := state.HandleReply(args.From, reply, wallSeconds())
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

// Receiver answers the exchanges that other instances start.
type Receiver struct {
	Table *Table
	// SelfLoad returns the share of its capacity that this instance uses, from
	// 0 to 1; nil reports 0.
	SelfLoad func() float64
}

// Exchange answers one message of another instance. It is called over RPC.
func (r *Receiver) Exchange(args gossip.Args, reply *gossip.Reply) error {
	*reply = r.Table.State.HandleArgs(args, wallSeconds())
	if r.SelfLoad != nil {
		reply.Load = r.SelfLoad()
	}
	if args.From != "" {
		r.Table.RecordReply(args.From, args.Load)
	}
	return nil
}

package placement

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/lease"
	"github.com/egretbend/egretbend/internal/fleet/listing"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/outside/roster"
)

// How orders are given.
const (
	// orderPeriod is the time between two looks for something to do when
	// nothing was published and no order ended.
	orderPeriod = 500 * time.Millisecond
	// looksPerSecond bounds the reports that a holder asks for while its
	// engines have what is wanted; it looks only for those that restarted.
	looksPerSecond = 16
	// candidates is how many instances try for the lease of a shard, which
	// bounds the calls to the key-value service.
	candidates = 3
	// fetchTimeout bounds a fetch, switchTimeout a switch.
	fetchTimeout  = 60 * time.Second
	switchTimeout = 10 * time.Second
	reportTimeout = time.Second
	// failPause is how long an engine is left alone after a failed order.
	failPause = 500 * time.Millisecond
	// switchShare is the share of a shard's engines that switch at once.
	switchShare = 0.5
	// outageGrace is how long a shard must be without a holder that this
	// instance could be before it goes on without a lease.
	outageGrace = 2 * lease.TTL
	// askPeriod is the time between two looks whether there is an outage.
	askPeriod = 2 * time.Second
)

// Orderer gives the orders for the shards whose leases this instance holds.
type Orderer struct {
	Store   keyvalue.Store
	Holder  *configuration.Holder
	Members *member.Table
	Listing *listing.Book
	Board   *version.Board
	Engine  engine.Adapter
	Timer   timer.Service
	Journal *journal.Journal
	Self    string

	mu       sync.Mutex
	shards   map[string]*shard
	answered timer.Instant
	asked    timer.Instant
	down     bool
	// ended fires when an order ended.
	ended chan struct{}
}

// shard is one shard of a deployment's engines.
type shard struct {
	deployment string
	index      int
	of         int
	lease      *lease.Holder

	mu       sync.Mutex
	underWay map[string]engine.Action
	fence    uint64
	// looked is what engines said last, and when.
	looked map[string]look
}

// look is an engine's word of a moment.
type look struct {
	engine Engine
	at     timer.Instant
}

func shardKey(deployment string, index int) string {
	return fmt.Sprintf("egretbend/lease/%s/%d", deployment, index)
}

// Run gives orders until t dies: at once after a version was published or an
// order ended, and from time to time for engines that restarted.
func (o *Orderer) Run(t *tomb.Tomb) error {
	tick := o.Timer.Every(orderPeriod)
	defer tick.Close()
	o.ended = make(chan struct{}, 1)
	for {
		published := o.Board.State.Changed(gossip.KindWeights)
		if doc := o.Holder.Current(); doc != nil {
			o.round(t, doc.Parsed())
		}
		select {
		case <-tick.C:
		case <-published:
		case <-o.ended:
		case <-t.Dying():
			return nil
		}
	}
}

func (o *Orderer) round(t *tomb.Tomb, cfg *configuration.Configuration) {
	for _, d := range cfg.Deployments {
		if d.Kind != configuration.KindModel {
			continue
		}
		newest, ok := o.Board.Newest(d.Name)
		for i := range d.Shards {
			s := o.shard(t, d, i)
			if ok {
				o.order(t, d, s, newest)
			}
		}
	}
}

// shard returns the state of a shard and starts its lease.
func (o *Orderer) shard(t *tomb.Tomb, d configuration.Deployment, index int) *shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := shardKey(d.Name, index)
	if s, ok := o.shards[key]; ok {
		return s
	}
	if o.shards == nil {
		o.shards = make(map[string]*shard)
	}
	s := &shard{
		deployment: d.Name,
		index:      index,
		of:         d.Shards,
		underWay:   make(map[string]engine.Action),
		looked:     make(map[string]look),
		lease: &lease.Holder{
			Store:     o.Store,
			Timer:     o.Timer,
			Journal:   o.Journal,
			Key:       key,
			Self:      o.Self,
			Candidate: func() bool { return o.candidate(key, candidates) },
		},
	}
	o.shards[key] = s
	t.Go(func() error { return s.lease.Run(t) })
	return s
}

func (o *Orderer) candidate(key string, n int) bool {
	for _, m := range o.Members.View().Top(key, n) {
		if m.ID == o.Self {
			return true
		}
	}
	return false
}

// order gives the orders of one shard if this instance may.
func (o *Orderer) order(t *tomb.Tomb, d configuration.Deployment, s *shard, newest version.Published) {
	number, ok := o.mayOrder(t, s)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if number < s.fence {
		return
	}
	s.fence = number
	engines := o.look(t, d, s, newest.Version)
	limits := Limits{
		Fetches:  max(1, d.FetchesAtOnce/d.Shards),
		Switches: max(1, int(switchShare*float64(len(engines)))),
	}
	for _, order := range Plan(engines, newest.Version, s.underWay, limits) {
		s.underWay[order.Engine.ID] = order.Action
		t.Go(func() error {
			o.give(t, s, order, newest, number)
			return nil
		})
	}
}

// mayOrder returns the fencing number to order with. In an outage of the
// key-value service no lease can be had; the first instance by rendezvous hash
// then goes on, as orders for versions only go up and two who give the same
// ones do no harm.
func (o *Orderer) mayOrder(t *tomb.Tomb, s *shard) (uint64, bool) {
	if number, ok := s.lease.Held(o.Timer.Now()); ok {
		return number, true
	}
	key := shardKey(s.deployment, s.index)
	if !o.candidate(key, 1) || !o.outage(t, key) {
		return 0, false
	}
	return max(s.lease.Last(), s.fence), true
}

// outage reports whether the key-value service has not answered for longer
// than any lease lives. It asks at most once every askPeriod.
func (o *Orderer) outage(t *tomb.Tomb, key string) bool {
	now := o.Timer.Now()
	o.mu.Lock()
	due := o.asked == 0 || now.Sub(o.asked) > askPeriod
	if due {
		o.asked = now
	}
	down := o.down
	o.mu.Unlock()
	if !due {
		return down
	}
	ctx, cancel := context.WithTimeout(t.Context(context.Background()), reportTimeout)
	defer cancel()
	_, err := o.Store.Get(ctx, key)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil || errors.Is(err, keyvalue.ErrNotFound) || o.answered == 0 {
		o.answered = now
	}
	o.down = now.Sub(o.answered) > outageGrace
	return o.down
}

// look asks the shard's engines what they have. An order is given only on the
// engine's own word of this moment; one that had the wanted version a moment
// ago is not asked again at once.
func (o *Orderer) look(t *tomb.Tomb, d configuration.Deployment, s *shard, wanted version.Version) []Engine {
	now := o.Timer.Now()
	var mine []roster.Instance
	for _, in := range o.Listing.List() {
		if in.Group == d.Group && !in.Leaving && s.owns(in) {
			mine = append(mine, in)
		}
	}
	rest := time.Duration(len(mine)) * time.Second / looksPerSecond
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, in := range mine {
		old, known := s.looked[in.ID]
		quiet := known && !old.engine.Version.Less(wanted) && now.Sub(old.at) < rest
		if s.underWay[in.ID] != "" || quiet {
			continue
		}
		wg.Go(func() {
			e, ok := o.ask(t, in)
			mu.Lock()
			defer mu.Unlock()
			delete(s.looked, in.ID)
			if ok {
				s.looked[in.ID] = look{
					engine: e,
					at:     now,
				}
			}
		})
	}
	wg.Wait()
	engines := make([]Engine, 0, len(mine))
	for _, in := range mine {
		if l, ok := s.looked[in.ID]; ok {
			engines = append(engines, l.engine)
		}
	}
	return engines
}

func (o *Orderer) ask(t *tomb.Tomb, in roster.Instance) (Engine, bool) {
	ctx, cancel := context.WithTimeout(t.Context(context.Background()), reportTimeout)
	defer cancel()
	report, err := o.Engine.Report(ctx, in.Address)
	return Engine{
		ID:      in.ID,
		Address: in.Address,
		Version: report.Version,
		Fetched: report.Fetched,
	}, err == nil
}

func (s *shard) owns(in roster.Instance) bool {
	return member.Score("shard", in.ID)%uint64(s.of) == uint64(s.index)
}

// give gives one order and notes its end. A process that was paused just here
// gives an order under an old number: engines that check it refuse, and for
// the others the order names a version that some holder wanted, which the
// next round of the new holder raises again.
func (o *Orderer) give(t *tomb.Tomb, s *shard, order Order, p version.Published, number uint64) {
	defer func() {
		s.mu.Lock()
		delete(s.underWay, order.Engine.ID)
		s.mu.Unlock()
		select {
		case o.ended <- struct{}{}:
		default:
		}
	}()
	timeout := switchTimeout
	if order.Action == engine.ActionFetch {
		timeout = fetchTimeout
	}
	ctx, cancel := context.WithTimeout(t.Context(context.Background()), timeout)
	defer cancel()
	err := o.Engine.Order(ctx, order.Engine.Address, engine.Order{
		Action:  order.Action,
		Version: p.Version,
		Source:  p.Source,
		Fencing: number,
	})
	fields := log.Fields{
		"action":         string(order.Action),
		"chosen":         order.Engine.ID,
		"version":        p.Version.String(),
		"from":           order.Engine.Version.String(),
		"fencing_number": number,
		"reason":         "engine_behind",
	}
	if err != nil {
		o.Journal.Trouble("order_failed", err, fields)
		timer.Wait(o.Timer, failPause, t.Dying())
		return
	}
	o.Journal.Decision("order", fields)
}

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
	"github.com/egretbend/egretbend/internal/fleet/lease"
	"github.com/egretbend/egretbend/internal/fleet/listing"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/platform/engine"
	"github.com/egretbend/egretbend/internal/platform/keyvalue"
	"github.com/egretbend/egretbend/internal/platform/roster"
)

// How orders are given.
const (
	orderPeriod = 250 * time.Millisecond
	// candidates is how many instances try for the lease of a shard, which
	// bounds the calls to the key-value service.
	candidates = 3
	// fetchTimeout bounds a fetch, switchTimeout a switch.
	fetchTimeout  = 60 * time.Second
	switchTimeout = 10 * time.Second
	reportTimeout = time.Second
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
}

func shardKey(deployment string, index int) string {
	return fmt.Sprintf("egretbend/lease/%s/%d", deployment, index)
}

// Run gives orders until t dies.
func (o *Orderer) Run(t *tomb.Tomb) error {
	tick := o.Timer.Every(orderPeriod)
	defer tick.Close()
	for {
		if doc := o.Holder.Current(); doc != nil {
			o.round(t, doc.Parsed())
		}
		select {
		case <-tick.C:
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
	engines := o.look(t, d, s)
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
// engine's own word of this moment.
func (o *Orderer) look(t *tomb.Tomb, d configuration.Deployment, s *shard) []Engine {
	var mu sync.Mutex
	var engines []Engine
	var wg sync.WaitGroup
	for _, in := range o.Listing.List() {
		if in.Group != d.Group || in.Leaving || s.underWay[in.ID] != "" || !s.owns(in) {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(context.Background()), reportTimeout)
			defer cancel()
			report, err := o.Engine.Report(ctx, in.Address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			engines = append(engines, Engine{
				ID:      in.ID,
				Address: in.Address,
				Version: report.Version,
				Fetched: report.Fetched,
			})
		})
	}
	wg.Wait()
	return engines
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
		timer.Wait(o.Timer, time.Second, t.Dying())
		return
	}
	o.Journal.Decision("order", fields)
}

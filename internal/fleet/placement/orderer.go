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

// Periods, timeouts and limits of orders.
const (
	// orderPeriod is the time between two rounds while nothing is published and no
	// order completes.
	orderPeriod = 500 * time.Millisecond
	// reportsPerSecond is the rate at which the holder of a shard requests
	// reports from engines that have the wanted version. These reports only serve
	// to find engines that restarted.
	reportsPerSecond = 16
	// candidatesPerShard is the number of instances that try to acquire the lease
	// of a shard. It bounds the calls to the key-value service.
	candidatesPerShard = 3
	// fetchTimeout bounds an order to fetch, switchTimeout one to switch.
	fetchTimeout  = 60 * time.Second
	switchTimeout = 10 * time.Second
	// reportTimeout bounds a request for a report, and a check for an outage.
	reportTimeout = time.Second
	// failureBackoff is the time after a failed order in which its engine gets no
	// other order.
	failureBackoff = 500 * time.Millisecond
	// maxSwitchShare is the share of a shard's engines that may switch at once.
	maxSwitchShare = 0.5
	// outageGrace is how long the key-value service must have been down before
	// this instance gives orders without a lease. All leases have expired by then.
	outageGrace = 2 * lease.TTL
	// outageCheckPeriod is the minimum time between two checks for an outage.
	outageCheckPeriod = 2 * time.Second
)

// Orderer gives the orders to the engines of all shards whose leases this
// instance holds.
type Orderer struct {
	Store keyvalue.Store
	// Configuration holds the configuration in force.
	Configuration *configuration.Holder
	Members       *member.Table
	// Listing holds the engines.
	Listing *listing.Table
	// Versions holds the newest published version of each deployment.
	Versions *version.Table
	Engine   engine.Adapter
	Timer    timer.Service
	Journal  *journal.Journal
	// Self is the name of this instance.
	Self string

	mu sync.Mutex
	// shards holds the shards of all deployments by the key of their lease.
	shards map[string]*shard
	// lastAnswer is when the key-value service last answered a check for an
	// outage, and lastCheck when the last check was made.
	lastAnswer timer.Instant
	lastCheck  timer.Instant
	storeDown  bool
	// orderDone receives a value after an order completed.
	orderDone chan struct{}
}

// shard is one shard of a deployment's engines.
type shard struct {
	deployment string
	index      int
	// shardCount is the number of shards of the deployment.
	shardCount int
	lease      *lease.Holder

	mu sync.Mutex
	// inFlight holds the action of the order in progress of each engine.
	inFlight map[string]engine.Action
	// lastFence is the highest fencing number that orders were given under.
	lastFence uint64
	// reports holds the last report of each engine that answered.
	reports map[string]cachedReport
}

// cachedReport is the last report of an engine, and when it was requested.
type cachedReport struct {
	engine Engine
	at     timer.Instant
}

// leaseKey returns the key of the lease of a shard.
func leaseKey(deployment string, index int) string {
	return fmt.Sprintf("egretbend/lease/%s/%d", deployment, index)
}

// Run gives orders until t dies. It runs a round at once after a version was
// published or an order completed, and otherwise each orderPeriod, for engines that
// restarted.
func (o *Orderer) Run(t *tomb.Tomb) error {
	tick := o.Timer.Every(orderPeriod)
	defer tick.Close()
	o.orderDone = make(chan struct{}, 1)
	for {
		published := o.Versions.State.Changed(gossip.KindWeights)
		if doc := o.Configuration.Current(); doc != nil {
			o.reconcile(t, doc.Parsed())
		}
		select {
		case <-tick.C:
		case <-published:
		case <-o.orderDone:
		case <-t.Dying():
			return nil
		}
	}
}

// reconcile runs one round for all shards of all model deployments.
func (o *Orderer) reconcile(t *tomb.Tomb, cfg *configuration.Configuration) {
	for _, d := range cfg.Deployments {
		if d.Kind != configuration.KindModel {
			continue
		}
		newest, ok := o.Versions.Newest(d.Name)
		for i := range d.Shards {
			s := o.ensureShard(t, d, i)
			if ok {
				o.orderShard(t, d, s, newest)
			}
		}
	}
}

// ensureShard returns the shard of a deployment with the given index. The first
// call for a shard creates it and starts trying for its lease.
func (o *Orderer) ensureShard(t *tomb.Tomb, d configuration.Deployment, index int) *shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := leaseKey(d.Name, index)
	if s, ok := o.shards[key]; ok {
		return s
	}
	if o.shards == nil {
		o.shards = make(map[string]*shard)
	}
	s := &shard{
		deployment: d.Name,
		index:      index,
		shardCount: d.Shards,
		inFlight:   make(map[string]engine.Action),
		reports:    make(map[string]cachedReport),
		lease: &lease.Holder{
			Store:     o.Store,
			Timer:     o.Timer,
			Journal:   o.Journal,
			Key:       key,
			Self:      o.Self,
			Candidate: func() bool { return o.isCandidate(key, candidatesPerShard) },
		},
	}
	o.shards[key] = s
	t.Go(func() error { return s.lease.Run(t) })
	return s
}

// isCandidate reports whether this instance is among the n instances with the
// highest rendezvous hash for key.
func (o *Orderer) isCandidate(key string, n int) bool {
	for _, m := range o.Members.View().Top(key, n) {
		if m.ID == o.Self {
			return true
		}
	}
	return false
}

// orderShard plans and sends the orders for the engines of one shard, if this
// instance may do so.
func (o *Orderer) orderShard(t *tomb.Tomb, d configuration.Deployment, s *shard, newest version.Published) {
	number, ok := o.mayOrder(t, s)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if number < s.lastFence {
		return
	}
	s.lastFence = number
	engines := o.pollEngines(t, d, s, newest.Version)
	limits := Limits{
		Fetches:  max(1, d.MaxConcurrentFetches/d.Shards),
		Switches: max(1, int(maxSwitchShare*float64(len(engines)))),
	}
	for _, order := range Plan(engines, newest.Version, s.inFlight, limits) {
		s.inFlight[order.Engine.ID] = order.Action
		t.Go(func() error {
			o.sendOrder(t, s, order, newest, number)
			return nil
		})
	}
}

// mayOrder returns the fencing number for the orders of a shard, and whether this
// instance may give orders. During an outage of the key-value service no lease
// can be acquired, and the first instance by rendezvous hash gives the orders.
// That is safe: ordered versions only increase, and two instances that give the
// same orders do no harm.
func (o *Orderer) mayOrder(t *tomb.Tomb, s *shard) (uint64, bool) {
	if number, ok := s.lease.Held(o.Timer.Now()); ok {
		return number, true
	}
	key := leaseKey(s.deployment, s.index)
	if !o.isCandidate(key, 1) || !o.storeOutage(t, key) {
		return 0, false
	}
	return max(s.lease.LastFencingNumber(), s.lastFence), true
}

// storeOutage reports whether the key-value service has not answered for longer
// than any lease lasts. It calls the service at most once every
// outageCheckPeriod.
func (o *Orderer) storeOutage(t *tomb.Tomb, key string) bool {
	now := o.Timer.Now()
	o.mu.Lock()
	due := o.lastCheck == 0 || now.Sub(o.lastCheck) > outageCheckPeriod
	if due {
		o.lastCheck = now
	}
	storeDown := o.storeDown
	o.mu.Unlock()
	if !due {
		return storeDown
	}
	ctx, cancel := context.WithTimeout(t.Context(context.Background()), reportTimeout)
	defer cancel()
	_, err := o.Store.Get(ctx, key)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil || errors.Is(err, keyvalue.ErrNotFound) || o.lastAnswer == 0 {
		o.lastAnswer = now
	}
	o.storeDown = now.Sub(o.lastAnswer) > outageGrace
	return o.storeDown
}

// pollEngines returns the engines of a shard with the versions that they report.
// Each engine is asked for its current state before it gets an order. An engine
// that reported the wanted version within pollInterval needs no order and is not
// asked again yet.
func (o *Orderer) pollEngines(t *tomb.Tomb, d configuration.Deployment, s *shard, wanted version.Version) []Engine {
	now := o.Timer.Now()
	var owned []roster.Instance
	for _, in := range o.Listing.List() {
		if in.Group == d.Group && !in.Leaving && s.owns(in) {
			owned = append(owned, in)
		}
	}
	pollInterval := time.Duration(len(owned)) * time.Second / reportsPerSecond
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, in := range owned {
		cached, known := s.reports[in.ID]
		upToDate := known && !cached.engine.Version.Less(wanted) && now.Sub(cached.at) < pollInterval
		if s.inFlight[in.ID] != "" || upToDate {
			continue
		}
		wg.Go(func() {
			e, ok := o.requestReport(t, in)
			mu.Lock()
			defer mu.Unlock()
			delete(s.reports, in.ID)
			if ok {
				s.reports[in.ID] = cachedReport{
					engine: e,
					at:     now,
				}
			}
		})
	}
	wg.Wait()
	engines := make([]Engine, 0, len(owned))
	for _, in := range owned {
		if report, ok := s.reports[in.ID]; ok {
			engines = append(engines, report.engine)
		}
	}
	return engines
}

// requestReport returns the state that an engine reports, and false if it does
// not answer.
func (o *Orderer) requestReport(t *tomb.Tomb, in roster.Instance) (Engine, bool) {
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

// owns reports whether the shard contains an engine.
func (s *shard) owns(in roster.Instance) bool {
	return member.Score("shard", in.ID)%uint64(s.shardCount) == uint64(s.index)
}

// sendOrder sends one order, waits until it is carried out, and logs the result.
// If this process is paused before the call, the order carries an outdated
// fencing number. Engines that check the number reject it. Other engines follow
// the order, which names a version that some holder wanted; the new holder's
// next round raises the version again.
func (o *Orderer) sendOrder(t *tomb.Tomb, s *shard, order Order, p version.Published, number uint64) {
	defer func() {
		s.mu.Lock()
		delete(s.inFlight, order.Engine.ID)
		s.mu.Unlock()
		select {
		case o.orderDone <- struct{}{}:
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
		Action:       order.Action,
		Version:      p.Version,
		Source:       p.Source,
		FencingToken: number,
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
		o.Journal.Warn("order_failed", err, fields)
		timer.Wait(o.Timer, failureBackoff, t.Dying())
		return
	}
	o.Journal.Decision("order", fields)
}

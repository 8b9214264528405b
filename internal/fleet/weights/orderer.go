package weights

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/duty"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Intervals and timeouts of orders.
const (
	// dutyCheckInterval is the time between two checks whether this instance holds
	// the duty to give orders.
	dutyCheckInterval = 600 * time.Millisecond
	// planInterval is the time between two plans of the holder.
	planInterval = 200 * time.Millisecond
	// orderTimeout is the time limit for the answer to an order; a healthy engine
	// answers within a few milliseconds.
	orderTimeout = 600 * time.Millisecond
	// loadTimeout is how long an accepted load may take before the engine gets
	// another order. A load takes about a second, or more when several run.
	loadTimeout = 6 * time.Second
	// noAnswerTimeout is how long to wait for the effect of an order without an
	// answer before it is sent again. Both carry the same order count, so the
	// engine carries out only one of them.
	noAnswerTimeout = 1500 * time.Millisecond
	// placementTime is how long after a version was published the items of its step
	// are still being placed on engines. Running streams continue while their engine loads.
	placementTime = 500 * time.Millisecond
	// refusalBackoff is how long an engine gets no order after it refused one.
	refusalBackoff = 500 * time.Millisecond
)

// StreamMode says what happens to the running streams of an engine that loads a version.
type StreamMode int

// The stream modes.
const (
	// Continue continues the streams with the new version.
	Continue StreamMode = iota
	// Finish waits for the streams to end first.
	Finish
)

// Command is an order with the fields that are sent to an engine along with it.
type Command struct {
	Order
	StreamMode StreamMode
	Holder     string
	Fence      uint64
	// ExpectedOrders is the number of orders that the engine should have accepted
	// before. An engine with another count refuses the order.
	ExpectedOrders uint64
}

// Errors that an engine answers to an order.
var (
	// ErrVersionLoaded means that the engine has the ordered version already.
	ErrVersionLoaded = errors.New("the engine has the ordered version already")
	// ErrOrderCount means that the engine is carrying out another order, or has accepted
	// another number of orders than Command.ExpectedOrders.
	ErrOrderCount = errors.New("the engine is busy or has accepted another number of orders")
	// ErrRefused means that the engine will not carry out the order.
	ErrRefused = errors.New("the engine refuses the order")
)

// State is the state that an engine reports of itself.
type State struct {
	// OrderCount is the number of orders that the engine has accepted.
	OrderCount uint64
	// Busy says that the engine is carrying out an order.
	Busy     bool
	Versions map[string]uint64
}

// Engines sends orders to engines and queries their state. Order returns nil if the engine
// has begun to carry out the order, one of the errors above, or another error if the
// outcome is unknown.
type Engines interface {
	Order(ctx context.Context, u *catalog.Upstream, c Command) error
	State(ctx context.Context, u *catalog.Upstream) (State, error)
}

// Holder reports whether this instance holds the duty to give orders.
type Holder interface {
	// FencingToken returns the fencing token and whether orders may be given now.
	FencingToken() (uint64, bool)
	// BeginCall returns the context for one call, or duty.ErrWithheld.
	BeginCall(ctx context.Context, fence uint64, timeout time.Duration) (call context.Context, end func(), err error)
	// Holds reports whether this instance is the holder, even if it still has to
	// wait before it gives orders.
	Holds() bool
}

// Orderer assigns engines to models, and gives orders to engines while this instance holds
// the duty.
type Orderer struct {
	Holder    Holder
	Upstreams *catalog.Upstreams
	Config    *catalog.Holder
	Engines   Engines
	Timer     timer.Service
	Journal   *journal.Journal
	// Metrics may be nil.
	Metrics *Metrics
	// Name is the name of this instance.
	Name string

	mu sync.Mutex
	// latest holds the latest published version of each model.
	latest map[string]uint64
	demand Demand
	// origins holds where the last step of each model was submitted.
	origins map[string]origin
	// stepRequestedAt holds the time of the last step request of each model.
	stepRequestedAt map[string]timer.Instant
	// divisions holds the division by need of each service.
	divisions map[string]*division
	// assignments holds the cached assignment of each service.
	assignments map[string]cachedAssignment
	// latestAt holds the time at which each version in latest became known.
	latestAt map[string]timer.Instant
	// orderStates holds the state of orders by engine ID.
	orderStates map[string]*orderState
	wake        wake.Signal
}

// orderState is the state of the orders to one engine.
type orderState struct {
	upstream *catalog.Upstream
	// order is the last order.
	order Order
	// orderCount is the number of orders that the engine has accepted.
	orderCount uint64
	// countKnown says that orderCount was reported by the engine, or follows from a
	// report.
	countKnown bool
	// waitUntil is when the engine stops counting as loading if nothing else shows it.
	waitUntil timer.Instant
	// loading says that the engine counts as still carrying out order.
	loading bool
	// reported holds the versions that the engine itself reported.
	reported map[string]uint64
}

// VersionPublished records a version of a model that a trainer has published.
func (o *Orderer) VersionPublished(model string, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.latest == nil {
		o.latest = make(map[string]uint64)
		o.latestAt = make(map[string]timer.Instant)
	}
	if version > o.latest[model] {
		o.latest[model] = version
		o.latestAt[model] = o.Timer.Now()
	}
	o.wake.Set()
}

// UpstreamsChanged is called after a change of the evacuated failure domains. The engines are
// assigned anew at once, so that those that take over load their weights before items need them.
func (o *Orderer) UpstreamsChanged() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.assignments)
	o.wake.Set()
}

// Run gives orders while this instance holds the duty, until t dies.
func (o *Orderer) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	o.mu.Lock()
	o.orderStates = make(map[string]*orderState)
	o.mu.Unlock()
	dutyTicker := o.Timer.Every(dutyCheckInterval)
	defer dutyTicker.Close()
	var planTicker *timer.Subscription
	defer func() {
		if planTicker != nil {
			planTicker.Close()
		}
	}()
	for {
		// Only the holder plans; on other instances the ticker would wake the loop
		// for nothing.
		var planDue <-chan timer.Instant
		if o.Holder.Holds() && planTicker == nil {
			planTicker = o.Timer.Every(planInterval)
		}
		if planTicker != nil {
			planDue = planTicker.C
		}
		select {
		case <-dutyTicker.C:
		case <-planDue:
			o.reconcile(ctx)
		case <-o.wake.C():
			o.reconcile(ctx)
		case <-t.Dying():
			return nil
		}
	}
}

// reconcile plans and gives the orders for all services with engines.
func (o *Orderer) reconcile(ctx context.Context) {
	fence, ok := o.Holder.FencingToken()
	cfg := o.Config.Current()
	if !ok || cfg == nil {
		return
	}
	for name, service := range cfg.Services {
		if service.Engine != nil {
			o.reconcileService(ctx, fence, name, service.Engine.Models, streamModeFor(cfg, name))
		}
	}
}

// streamModeFor returns the StreamMode for the engines of a service. If a route to the
// service requires that each sample comes from a single version, the streams end
// first. Otherwise they continue, so that no sample is lost to a load.
func streamModeFor(cfg *catalog.Configuration, service string) StreamMode {
	for _, r := range cfg.Routes {
		if !r.SingleVersion {
			continue
		}
		for _, s := range r.Split {
			if s.Service == service {
				return Finish
			}
		}
	}
	return Continue
}

// reconcileService plans and gives the orders for the engines of one service.
func (o *Orderer) reconcileService(ctx context.Context, fence uint64, service string, models []string, mode StreamMode) {
	o.mu.Lock()
	now := o.Timer.Now()
	var engines []Engine
	byID := make(map[string]*catalog.Upstream)
	for _, u := range o.Upstreams.Group(service).Upstreams {
		if u.Leaving() {
			continue
		}
		byID[u.ID] = u
		engines = append(engines, o.engineView(u, now))
	}
	assignment := o.divide(service, engines, models, o.latest, now)
	recent := make(map[string]bool)
	for model, at := range o.latestAt {
		recent[model] = now.Sub(at) < placementTime
	}
	orders := Plan(engines, o.latest, recent, assignment, MaxLoads(len(engines)))
	for _, order := range orders {
		u := byID[order.Engine]
		s := o.orderState(u)
		s.order = order
		s.loading = true
		s.waitUntil = now.Add(loadTimeout)
		c := Command{
			Order:          order,
			StreamMode:     mode,
			Holder:         o.Name,
			Fence:          fence,
			ExpectedOrders: s.orderCount,
		}
		go o.sendOrder(ctx, u, s, c)
	}
	o.mu.Unlock()
}

// orderState returns the state of the orders to an engine, which it creates if the engine
// is new. The caller holds o.mu.
func (o *Orderer) orderState(u *catalog.Upstream) *orderState {
	s := o.orderStates[u.ID]
	if s == nil || s.upstream != u {
		s = &orderState{
			upstream: u,
		}
		o.orderStates[u.ID] = s
	}
	return s
}

// ensureOrderCount queries an engine for its order count before the first order that this
// process sends to it. Otherwise a holder that takes over or restarts would send each
// engine an order with a wrong count. Each would be refused, and after a power loss the
// step that waits for new weights would wait half a second longer. It reports false if the
// engine has the version already.
func (o *Orderer) ensureOrderCount(ctx context.Context, u *catalog.Upstream, s *orderState, c *Command) bool {
	o.mu.Lock()
	countKnown := s.countKnown
	o.mu.Unlock()
	if countKnown {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := o.Engines.State(callCtx, u)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		// Send the order anyway: its outcome shows what is wrong.
		return true
	}
	s.countKnown = true
	s.orderCount = state.OrderCount
	s.reported = mergeVersions(s.reported, state.Versions)
	c.ExpectedOrders = state.OrderCount
	if s.reported[c.Model] >= c.Version {
		s.loading = false
		return false
	}
	return true
}

// sendOrder sends one order and records its outcome.
func (o *Orderer) sendOrder(ctx context.Context, u *catalog.Upstream, s *orderState, c Command) {
	sentAt := o.Timer.Now()
	if !o.ensureOrderCount(ctx, u, s, &c) {
		return
	}
	// The permission may have ended while the engine was asked for its order count.
	callCtx, end, err := o.Holder.BeginCall(ctx, c.Fence, orderTimeout)
	if err == nil {
		err = o.Engines.Order(callCtx, u, c)
		end()
	}
	var state State
	var stateErr error
	if errors.Is(err, ErrOrderCount) {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		state, stateErr = o.Engines.State(callCtx, u)
		cancel()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Timer.Now()
	outcome := "begun"
	switch {
	case err == nil:
		s.orderCount = c.ExpectedOrders + 1
		s.waitUntil = now.Add(loadTimeout)
	case errors.Is(err, duty.ErrWithheld):
		outcome = "withheld"
		s.loading = false
	case errors.Is(err, ErrVersionLoaded):
		outcome = "standing"
		s.reported = mergeVersions(s.reported, map[string]uint64{c.Model: c.Version})
		s.loading = false
	case errors.Is(err, ErrOrderCount):
		outcome = "other_count"
		s.waitUntil = now.Add(refusalBackoff)
		if stateErr == nil {
			s.reported = state.Versions
			s.orderCount = state.OrderCount
			s.countKnown = true
			s.loading = state.Busy
		}
	case errors.Is(err, engine.ErrWithdrawn):
		outcome = "withdrawn"
		s.loading = false
	case errors.Is(err, ErrRefused):
		outcome = "refused"
		s.waitUntil = now.Add(refusalBackoff)
	default:
		outcome = "unknown"
		s.waitUntil = now.Add(noAnswerTimeout)
	}
	fields := log.Fields{
		"engine":  u.ID,
		"model":   c.Model,
		"version": c.Version,
		"fencing": c.Fence,
		"seen":    c.ExpectedOrders,
		"took_ms": now.Sub(sentAt).Milliseconds(),
		"outcome": outcome,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	o.Journal.Decision("order", fields)
}

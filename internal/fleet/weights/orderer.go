package weights

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// The times of orders.
const (
	// lookEvery is how often an instance looks whether it has the right to give orders.
	lookEvery = 600 * time.Millisecond
	// planEvery is how often a plan is made while orders are under way.
	planEvery = 200 * time.Millisecond
	// orderTimeout bounds the answer to an order; a good engine answers within
	// a few milliseconds.
	orderTimeout = 600 * time.Millisecond
	// loadTimeout is how long an accepted load may take before the engine is
	// asked again: a load takes about a second, some more when several run.
	loadTimeout = 6 * time.Second
	// lostTimeout is how long to wait for the effect of an order without an
	// answer. The same count of orders goes with the second one, so only one
	// of them can be carried out.
	lostTimeout = 1500 * time.Millisecond
	// placeTime is how long after a version was named the items of its step are
	// being placed. Streams that run go on while their engine loads.
	placeTime = 500 * time.Millisecond
	// refusedPause is the pause after a refused order.
	refusedPause = 500 * time.Millisecond
)

// Switch says what becomes of the streams that an engine runs.
type Switch int

// The ways to switch.
const (
	// Continue lets streams go on under the new version.
	Continue Switch = iota
	// Finish lets streams end first.
	Finish
)

// Command is an order as it goes to an engine.
type Command struct {
	Order
	Switch Switch
	Holder string
	Fence  uint64
	// Seen is how many orders the engine should have accepted before.
	Seen uint64
}

// The answers to an order.
var (
	// ErrStanding means that the order holds already.
	ErrStanding = errors.New("the engine has that version already")
	// ErrCount means that the engine carries out another order, or has seen
	// another number of them.
	ErrCount = errors.New("the engine is busy or has seen other orders")
	// ErrRefused means that the engine will not carry it out.
	ErrRefused = errors.New("the engine refuses the order")
)

// State is what an engine says of itself.
type State struct {
	Orders   uint64
	Busy     bool
	Versions map[string]uint64
}

// Engines gives orders to engines. Order returns nil when the engine has begun,
// one of the errors above, or another error when the outcome is not known.
type Engines interface {
	Order(ctx context.Context, u *catalog.Upstream, c Command) error
	State(ctx context.Context, u *catalog.Upstream) (State, error)
}

// Holder tells whether this instance gives the orders.
type Holder interface {
	// Fence returns the fencing token and whether orders may be given now.
	Fence() (uint64, bool)
	// Holds reports whether this instance is the one, even if it has to wait.
	Holds() bool
}

// Orderer gives the orders while it holds the right to.
type Orderer struct {
	Holder  Holder
	Book    *catalog.Book
	Config  *catalog.Holder
	Engines Engines
	Timer   timer.Service
	Journal *journal.Journal
	// Name is this instance's.
	Name string

	mu     sync.Mutex
	named  map[string]uint64
	demand Demand
	// asked is when a step of each model was asked for last.
	asked   map[string]timer.Instant
	divided map[string]divided
	since   map[string]timer.Instant
	last    map[string]*standing
	wake    wake.Signal
}

// standing is what is known of the orders to one engine.
type standing struct {
	u     *catalog.Upstream
	order Order
	seen  uint64
	// asked says that seen is what the engine said, or follows from it.
	asked   bool
	until   timer.Instant
	loading bool
	// learnt are the versions that the engine told itself.
	learnt map[string]uint64
}

// Named tells of a version that a trainer has named.
func (o *Orderer) Named(model string, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.named == nil {
		o.named = make(map[string]uint64)
		o.since = make(map[string]timer.Instant)
	}
	if version > o.named[model] {
		o.named[model] = version
		o.since[model] = o.Timer.Now()
	}
	o.wake.Set()
}

// Run gives orders until t dies, while this instance has the right to.
func (o *Orderer) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	o.mu.Lock()
	o.last = make(map[string]*standing)
	o.mu.Unlock()
	look := o.Timer.Every(lookEvery)
	defer look.Close()
	var plan *timer.Subscription
	defer func() {
		if plan != nil {
			plan.Close()
		}
	}()
	for {
		// Only the holder plans; the others would wake for nothing.
		var due <-chan timer.Instant
		if o.Holder.Holds() && plan == nil {
			plan = o.Timer.Every(planEvery)
		}
		if plan != nil {
			due = plan.C
		}
		select {
		case <-look.C:
		case <-due:
			o.round(ctx)
		case <-o.wake.C():
			o.round(ctx)
		case <-t.Dying():
			return nil
		}
	}
}

// round makes a plan and gives its orders.
func (o *Orderer) round(ctx context.Context) {
	fence, ok := o.Holder.Fence()
	cfg := o.Config.Current()
	if !ok || cfg == nil {
		return
	}
	for name, service := range cfg.Services {
		if service.Engine != nil {
			o.serve(ctx, fence, name, service.Engine.Models, switchOf(cfg, name))
		}
	}
}

// switchOf returns how the streams at a service's engines are treated. Where a
// route wants each sample from one version alone they end first; elsewhere they
// go on, so that a load costs no sample.
func switchOf(cfg *catalog.Configuration, service string) Switch {
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

// serve gives the orders for the engines of one service.
func (o *Orderer) serve(ctx context.Context, fence uint64, service string, models []string, how Switch) {
	o.mu.Lock()
	now := o.Timer.Now()
	var engines []Engine
	byID := make(map[string]*catalog.Upstream)
	for _, u := range o.Book.Group(service).Upstreams {
		if u.Leaving() {
			continue
		}
		byID[u.ID] = u
		engines = append(engines, o.view(u, now))
	}
	sets := Assign(engines, models, o.named, o.demand)
	fresh := make(map[string]bool)
	for model, at := range o.since {
		fresh[model] = now.Sub(at) < placeTime
	}
	orders := Plan(engines, o.named, fresh, sets, AtOnce(len(engines)))
	for _, order := range orders {
		u := byID[order.Engine]
		s := o.standing(u)
		s.order = order
		s.loading = true
		s.until = now.Add(loadTimeout)
		c := Command{
			Order:  order,
			Switch: how,
			Holder: o.Name,
			Fence:  fence,
			Seen:   s.seen,
		}
		go o.give(ctx, u, s, c)
	}
	o.mu.Unlock()
}

func (o *Orderer) standing(u *catalog.Upstream) *standing {
	s := o.last[u.ID]
	if s == nil || s.u != u {
		s = &standing{
			u: u,
		}
		o.last[u.ID] = s
	}
	return s
}

// view is an engine as the plan sees it: the list, and what it said since.
func (o *Orderer) view(u *catalog.Upstream, now timer.Instant) Engine {
	s := o.standing(u)
	l := u.Listed()
	versions := newest(l.Versions, s.learnt)
	if s.loading && (versions[s.order.Model] >= s.order.Version && s.order.Version > 0 || now >= s.until) {
		s.loading = false
	}
	e := Engine{
		ID:       u.ID,
		Versions: versions,
		Load:     u.Load(now),
	}
	if s.loading {
		e.Loading = s.order.Model
	}
	return e
}

// newest merges what the list and the engine itself say; versions only go up
// within the life of an engine.
func newest(listed, learnt map[string]uint64) map[string]uint64 {
	if len(learnt) == 0 {
		return listed
	}
	merged := make(map[string]uint64, len(listed))
	maps.Copy(merged, listed)
	for m, v := range learnt {
		merged[m] = max(merged[m], v)
	}
	return merged
}

// acquaint asks an engine for its count of orders before this life's first one to
// it. A holder that takes over, or starts again, would otherwise send each engine
// an order with a wrong count: each is refused, and after a loss of power the
// step that waits for new weights waits half a second longer. It reports false
// if the engine has the version already.
func (o *Orderer) acquaint(ctx context.Context, u *catalog.Upstream, s *standing, c *Command) bool {
	o.mu.Lock()
	asked := s.asked
	o.mu.Unlock()
	if asked {
		return true
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := o.Engines.State(call, u)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		// The order itself shows what is wrong.
		return true
	}
	s.asked = true
	s.seen = state.Orders
	s.learnt = newest(s.learnt, state.Versions)
	c.Seen = state.Orders
	if s.learnt[c.Model] >= c.Version {
		s.loading = false
		return false
	}
	return true
}

// give sends one order and notes its outcome.
func (o *Orderer) give(ctx context.Context, u *catalog.Upstream, s *standing, c Command) {
	sent := o.Timer.Now()
	if !o.acquaint(ctx, u, s, &c) {
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	err := o.Engines.Order(call, u, c)
	cancel()
	var state State
	var asked error
	if errors.Is(err, ErrCount) {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		state, asked = o.Engines.State(call, u)
		cancel()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Timer.Now()
	outcome := "begun"
	switch {
	case err == nil:
		s.seen = c.Seen + 1
		s.until = now.Add(loadTimeout)
	case errors.Is(err, ErrStanding):
		outcome = "standing"
		s.learnt = newest(s.learnt, map[string]uint64{c.Model: c.Version})
		s.loading = false
	case errors.Is(err, ErrCount):
		outcome = "other_count"
		s.until = now.Add(refusedPause)
		if asked == nil {
			s.learnt = state.Versions
			s.seen = state.Orders
			s.asked = true
			s.loading = state.Busy
		}
	case errors.Is(err, ErrRefused):
		outcome = "refused"
		s.until = now.Add(refusedPause)
	default:
		outcome = "unknown"
		s.until = now.Add(lostTimeout)
	}
	fields := log.Fields{
		"engine":  u.ID,
		"model":   c.Model,
		"version": c.Version,
		"fencing": c.Fence,
		"seen":    c.Seen,
		"took_ms": now.Sub(sent).Milliseconds(),
		"outcome": outcome,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	o.Journal.Decision("order", fields)
}

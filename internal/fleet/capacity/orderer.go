package capacity

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/duty"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Intervals and timeouts of orders.
const (
	// reconcileInterval is the time between two computations of the targets.
	reconcileInterval = time.Second
	// orderTimeout is the time limit of one order.
	orderTimeout = 900 * time.Millisecond
	// refusalBackoff is how long a failure domain gets no orders after it refused one.
	refusalBackoff = 8 * time.Second
	// bootGrace is how much longer than its usual boot time an engine may take before
	// it is ordered again.
	bootGrace = 6 * time.Second
)

// ErrNoCapacity means that a failure domain has no engines available at the moment.
var ErrNoCapacity = errors.New("the failure domain has no engines available at the moment")

// Order sets the number of engines of one kind in a failure domain.
type Order struct {
	Service     string
	Domain      string
	Count       int
	Reclaimable bool
}

// Platform accepts orders. After an error other than ErrNoCapacity it is unknown whether
// the order was accepted.
type Platform interface {
	Order(ctx context.Context, fence uint64, o Order) error
}

// Holder reports whether this instance holds the duty to give orders.
type Holder interface {
	// FencingToken returns the fencing token and whether orders may be given now.
	FencingToken() (uint64, bool)
	// BeginCall returns the context for one call, or duty.ErrWithheld.
	BeginCall(ctx context.Context, fence uint64, timeout time.Duration) (call context.Context, end func(), err error)
}

// Orderer orders engines while this instance holds the duty. An order states the total
// number of engines, so repeating it changes nothing. No state has to be stored: the next
// holder computes its own targets and orders them under a higher fencing token.
type Orderer struct {
	Holder    Holder
	Platform  Platform
	Upstreams *catalog.Upstreams
	Config    *catalog.Holder
	Demand    *Demand
	// Regions maps the failure domains to their regions.
	Regions map[string]string
	Timer   timer.Service
	Journal *journal.Journal

	fence  uint64
	states map[domainKey]*domainState
}

// domainKey identifies a failure domain of a service.
type domainKey struct{ service, domain string }

// domainState records the orders to a failure domain under the current fencing token.
type domainState struct {
	// ordered says that the last order was accepted and still counts, count is the
	// number of engines it asked for, and orderedAt is its time.
	ordered   bool
	count     int
	orderedAt timer.Instant
	// peak is the largest number of engines seen since the last detected reclaim.
	peak int
	// backoffUntil is the end of the backoff after a refused order.
	backoffUntil timer.Instant
}

// Run calls Reconcile every reconcileInterval until t dies.
func (o *Orderer) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	ticker := o.Timer.Every(reconcileInterval)
	defer ticker.Close()
	for {
		select {
		case <-ticker.C:
			o.Reconcile(ctx)
		case <-t.Dying():
			return nil
		}
	}
}

// Reconcile computes the targets and sends the orders that are needed to reach them. It
// does nothing while this instance does not hold the duty.
func (o *Orderer) Reconcile(ctx context.Context) {
	fence, ok := o.Holder.FencingToken()
	cfg := o.Config.Current()
	if !ok || cfg == nil {
		o.fence = 0
		return
	}
	if fence != o.fence {
		o.fence = fence
		o.states = make(map[domainKey]*domainState)
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		if s := cfg.Services[name]; s.Scaling != nil && s.Engine != nil {
			o.reconcileService(ctx, s)
		}
	}
}

// reconcileService sends the orders for one upstream group.
func (o *Orderer) reconcileService(ctx context.Context, s catalog.Service) {
	now := o.Timer.Now()
	group := o.observe(s, now)
	for i, t := range Targets(group) {
		if o.Upstreams.Evacuated(t.Domain) {
			continue // it was evacuated while the orders before were sent
		}
		st := o.domainState(s.Name, t.Domain)
		if st.needsOrder(t.Count, group.Domains[i].Reclaimable, s.Scaling.BootTime, now) {
			o.sendOrder(ctx, s.Name, t, group, st)
		}
	}
}

// domainState returns the state of a failure domain of a service, which it creates if
// there is none.
func (o *Orderer) domainState(service, domain string) *domainState {
	key := domainKey{service, domain}
	if o.states[key] == nil {
		o.states[key] = &domainState{}
	}
	return o.states[key]
}

// observe returns the present engines of a group and the demand for them. Booting engines
// of the last order count as present. Evacuated failure domains are left out: they get no
// orders, and the others replace their engines.
func (o *Orderer) observe(s catalog.Service, now timer.Instant) Group {
	domains := make(map[string]*Domain)
	for name, price := range s.Scaling.Prices {
		if o.Upstreams.Evacuated(name) {
			continue
		}
		domains[name] = &Domain{
			Name:   name,
			Region: o.Regions[name],
			Price:  price,
		}
	}
	for _, u := range o.Upstreams.Group(s.Name).Upstreams {
		l := u.Listed()
		d := domains[l.FailureDomain]
		switch {
		case d == nil || u.Leaving():
		case !l.Reclaimable:
			d.OnDemand++
		default:
			d.Reclaimable++
		}
	}
	items, restricted := o.Demand.Work(s.Engine.Models, o.regionsOf(s.Name), now)
	g := Group{
		Slots:        s.Engine.Slots,
		MaxPerDomain: s.Scaling.MaxPerDomain,
		Items:        items,
		Restricted:   restricted,
	}
	for _, d := range domains {
		st := o.domainState(s.Name, d.Name)
		st.observeCount(d.Reclaimable)
		d.OutOfCapacity = now < st.backoffUntil
		if st.ordered && now.Sub(st.orderedAt) < s.Scaling.BootTime+bootGrace {
			// Count booting engines: otherwise a lower target would take them
			// back, and they would be ordered again.
			d.Reclaimable = max(d.Reclaimable, st.count)
		}
		g.Domains = append(g.Domains, *d)
	}
	slices.SortFunc(g.Domains, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	return g
}

// regionsOf returns a function that returns the regions in which steps may run on engines of a
// service. For a step of unknown origin these are the regions of all routes to the service.
func (o *Orderer) regionsOf(service string) func(Origin) residency.Regions {
	cfg := o.Config.Current()
	if !cfg.Restricted() {
		return func(Origin) residency.Regions { return residency.Regions{} }
	}
	ofService := cfg.ServiceRegions(service)
	return func(at Origin) residency.Regions {
		if at == (Origin{}) {
			return ofService
		}
		return cfg.RequestRegions(at.Host, at.Path, at.Organisation, ofService)
	}
}

// observeCount records the present number of engines. If it falls to half of the peak or
// less, the platform has reclaimed engines, and they are ordered again without waiting for
// the boot time.
func (s *domainState) observeCount(count int) {
	if s.peak > 1 && count <= s.peak/2 {
		s.ordered = false
		s.peak = 0
	}
	s.peak = max(s.peak, count)
}

// needsOrder reports whether to send an order: the target differs from the last order, or
// the engines of the last order have not appeared in time. During the backoff after a
// refusal it never does.
func (s *domainState) needsOrder(target, present int, boot time.Duration, now timer.Instant) bool {
	if now < s.backoffUntil || target == 0 && !s.ordered && present == 0 {
		return false
	}
	if !s.ordered || target != s.count {
		return true
	}
	return present < target && now.Sub(s.orderedAt) > boot+bootGrace
}

// sendOrder sends one order and records its outcome.
func (o *Orderer) sendOrder(ctx context.Context, service string, t Target, g Group, st *domainState) {
	// An earlier order of this round may have taken until the end of the permission.
	ctx, end, err := o.Holder.BeginCall(ctx, o.fence, orderTimeout)
	if err == nil {
		err = o.Platform.Order(ctx, o.fence, Order{
			Service:     service,
			Domain:      t.Domain,
			Count:       t.Count,
			Reclaimable: true,
		})
		end()
	}
	if errors.Is(err, duty.ErrWithheld) {
		return
	}
	now := o.Timer.Now()
	outcome := "ordered"
	switch {
	case err == nil:
		st.ordered, st.count, st.orderedAt = true, t.Count, now
	case errors.Is(err, ErrNoCapacity):
		outcome = "none_available"
		st.ordered = false
		st.backoffUntil = now.Add(refusalBackoff)
	default:
		outcome = "unknown"
		st.ordered = false
	}
	fields := log.Fields{
		"service": service,
		"domain":  t.Domain,
		"count":   t.Count,
		"work":    g.Items,
		"slots":   g.Slots,
		"fencing": o.fence,
		"outcome": outcome,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	o.Journal.Decision("order_capacity", fields)
}

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

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// The times of orders.
const (
	// reconcileEvery is how often the targets are worked out.
	reconcileEvery = time.Second
	// orderTimeout bounds one order.
	orderTimeout = 900 * time.Millisecond
	// dryFor is how long a failure domain that refused an order gets none.
	dryFor = 8 * time.Second
	// bootSlack is how much longer than its usual boot an engine may take before it is
	// ordered once more.
	bootSlack = 6 * time.Second
)

// ErrNone means that no engines are to be had in a failure domain at the moment.
var ErrNone = errors.New("no engines are available there at the moment")

// Order asks for a number of engines of one kind in a failure domain.
type Order struct {
	Service     string
	Domain      string
	Count       int
	Reclaimable bool
}

// Platform takes orders. An error other than ErrNone leaves open whether one was taken.
type Platform interface {
	Order(ctx context.Context, fence uint64, o Order) error
}

// Holder tells whether this instance orders.
type Holder interface {
	Fence() (uint64, bool)
}

// Orderer orders engines while this instance has the duty. Orders name a whole number of
// engines, so that a repeat changes nothing, and nothing needs to be written down: a
// successor works out its own targets and orders them under a higher token.
type Orderer struct {
	Holder   Holder
	Platform Platform
	Book     *catalog.Book
	Config   *catalog.Holder
	Demand   *Demand
	Timer    timer.Service
	Journal  *journal.Journal

	fence  uint64
	states map[place]*state
}

type place struct{ service, domain string }

// state is what was ordered in a failure domain under the present token.
type state struct {
	ordered bool
	count   int
	at      timer.Instant
	// most is the most that were seen since the order.
	most int
	dry  timer.Instant
}

// Run orders until t dies.
func (o *Orderer) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	tick := o.Timer.Every(reconcileEvery)
	defer tick.Close()
	for {
		select {
		case <-tick.C:
			o.Reconcile(ctx)
		case <-t.Dying():
			return nil
		}
	}
}

// Reconcile works out the targets and orders what differs.
func (o *Orderer) Reconcile(ctx context.Context) {
	fence, ok := o.Holder.Fence()
	cfg := o.Config.Current()
	if !ok || cfg == nil {
		o.fence = 0
		return
	}
	if fence != o.fence {
		o.fence = fence
		o.states = make(map[place]*state)
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		if s := cfg.Services[name]; s.Scaling != nil && s.Engine != nil {
			o.service(ctx, s)
		}
	}
}

// service orders for one upstream group.
func (o *Orderer) service(ctx context.Context, s catalog.Service) {
	now := o.Timer.Now()
	group := o.observe(s, now)
	for i, t := range Decide(group) {
		st := o.state(s.Name, t.Domain)
		if st.due(t.Count, group.Domains[i].Reclaimable, s.Scaling.BootTime, now) {
			o.order(ctx, s.Name, t, group, st)
		}
	}
}

func (o *Orderer) state(service, domain string) *state {
	p := place{service, domain}
	if o.states[p] == nil {
		o.states[p] = &state{}
	}
	return o.states[p]
}

// observe returns what is known of a group.
func (o *Orderer) observe(s catalog.Service, now timer.Instant) Group {
	domains := make(map[string]*Domain)
	for name, price := range s.Scaling.Prices {
		domains[name] = &Domain{
			Name:  name,
			Price: price,
		}
	}
	for _, u := range o.Book.Group(s.Name).Upstreams {
		l := u.Listed()
		d := domains[l.FailureDomain]
		switch {
		case d == nil || u.Leaving():
		case !l.Reclaimable:
			d.Lasting++
		default:
			d.Reclaimable++
		}
	}
	g := Group{
		Slots: s.Engine.Slots,
		Most:  s.Scaling.Most,
		Work:  o.Demand.Work(s.Engine.Models, now),
	}
	for _, d := range domains {
		st := o.state(s.Name, d.Name)
		st.saw(d.Reclaimable)
		d.Dry = now < st.dry
		if st.ordered && now.Sub(st.at) < s.Scaling.BootTime+bootSlack {
			// Those that boot count: taken back, they would be ordered again.
			d.Reclaimable = max(d.Reclaimable, st.count)
		}
		g.Domains = append(g.Domains, *d)
	}
	slices.SortFunc(g.Domains, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	return g
}

// saw notes how many engines there are. Half of them gone at once were reclaimed, and are
// ordered again without waiting for their boot time.
func (s *state) saw(count int) {
	if s.most > 1 && count <= s.most/2 {
		s.ordered = false
		s.most = 0
	}
	s.most = max(s.most, count)
}

// due reports whether an order is to be made: the target is another one, or the engines
// of the last order have not come.
func (s *state) due(target, present int, boot time.Duration, now timer.Instant) bool {
	if now < s.dry || target == 0 && !s.ordered && present == 0 {
		return false
	}
	if !s.ordered || target != s.count {
		return true
	}
	return present < target && now.Sub(s.at) > boot+bootSlack
}

// order makes one order.
func (o *Orderer) order(ctx context.Context, service string, t Target, g Group, st *state) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.Platform.Order(ctx, o.fence, Order{
		Service:     service,
		Domain:      t.Domain,
		Count:       t.Count,
		Reclaimable: true,
	})
	now := o.Timer.Now()
	outcome := "ordered"
	switch {
	case err == nil:
		st.ordered, st.count, st.at = true, t.Count, now
	case errors.Is(err, ErrNone):
		outcome = "none_available"
		st.ordered = false
		st.dry = now.Add(dryFor)
	default:
		outcome = "unknown"
		st.ordered = false
	}
	fields := log.Fields{
		"service": service,
		"domain":  t.Domain,
		"count":   t.Count,
		"work":    g.Work,
		"slots":   g.Slots,
		"fencing": o.fence,
		"outcome": outcome,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	o.Journal.Decision("order_capacity", fields)
}

package weights

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/duty"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// fakeEngine is an engine that has already accepted orders from an earlier holder.
type fakeEngine struct {
	mu       sync.Mutex
	orders   uint64
	version  uint64
	commands []Command
}

// Order implements Engines.
func (e *fakeEngine) Order(_ context.Context, _ *catalog.Upstream, c Command) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commands = append(e.commands, c)
	if c.ExpectedOrders != e.orders {
		return ErrOrderCount
	}
	e.orders++
	e.version = c.Version
	return nil
}

// State implements Engines.
func (e *fakeEngine) State(context.Context, *catalog.Upstream) (State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{
		OrderCount: e.orders,
		Versions:   map[string]uint64{"m": e.version},
	}, nil
}

// fakeHolder is a Holder that may give orders under its fencing token.
type fakeHolder uint64

// FencingToken implements Holder.
func (h fakeHolder) FencingToken() (uint64, bool) { return uint64(h), true }

// Holds implements Holder.
func (h fakeHolder) Holds() bool { return true }

// BeginCall implements Holder.
func (h fakeHolder) BeginCall(ctx context.Context, fence uint64, _ time.Duration) (context.Context, func(), error) {
	if fence != uint64(h) {
		return nil, nil, duty.ErrWithheld
	}
	return ctx, func() {}, nil
}

// Guards against a holder that sends a wrong order count after it restarts, as all
// instances do after a power loss. If its first order to each engine carried a count of
// zero, it would be refused, the next one would follow half a second later, and the
// trainers' next steps would find engines with old weights.
func TestFirstOrderCarriesEngineOrderCount(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	engine := &fakeEngine{
		orders:  3,
		version: 4,
	}
	upstreams := &catalog.Upstreams{
		Timer: clock,
	}
	upstreams.Update([]catalog.Entry{{ID: "e", Service: "s", Address: "e", Slots: 8, Versions: map[string]uint64{"m": 4}}}, nil)
	o := &Orderer{
		Holder:      fakeHolder(7),
		Upstreams:   upstreams,
		Engines:     engine,
		Timer:       clock,
		latest:      map[string]uint64{"m": 6},
		latestAt:    map[string]timer.Instant{},
		orderStates: map[string]*orderState{},
	}
	settled := func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.orderStates["e"].orderCount == 4
	}
	o.reconcileService(context.Background(), 7, "s", []string{"m"}, Continue)
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 5*time.Second, nil, settled))
	engine.mu.Lock()
	defer engine.mu.Unlock()
	is.Equal(len(engine.commands), 1)
	is.Equal(engine.commands[0].ExpectedOrders, uint64(3))
	is.Equal(engine.version, uint64(6))
}

// Guards against an evacuation that leaves a model without engines although others could load its
// weights, against orders to an evacuated engine, and against a returned engine that keeps the
// weights that it had before.
func TestOrdersFollowEvacuation(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	engine := &fakeEngine{}
	upstreams := &catalog.Upstreams{
		Timer: clock,
	}
	upstreams.Update([]catalog.Entry{
		{ID: "e", Service: "s", Address: "e", FailureDomain: "a", Versions: map[string]uint64{"m": 6, "n": 1}},
		{ID: "f", Service: "s", Address: "f", FailureDomain: "b", Versions: map[string]uint64{"m": 1, "n": 6}},
		{ID: "g", Service: "s", Address: "g", FailureDomain: "b", Versions: map[string]uint64{"m": 1, "n": 6}},
	}, nil)
	o := &Orderer{
		Holder:      fakeHolder(7),
		Upstreams:   upstreams,
		Engines:     engine,
		Timer:       clock,
		latest:      map[string]uint64{"m": 6, "n": 6},
		latestAt:    map[string]timer.Instant{},
		orderStates: map[string]*orderState{},
	}
	ordered := func(id string) (Order, bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		s := o.orderStates[id]
		return s.order, s.loading
	}
	reconcile := func() { o.reconcileService(context.Background(), 7, "s", []string{"m", "n"}, Continue) }
	upstreams.SetEvacuated(map[string]bool{"a": true})
	reconcile()
	took, loading := ordered("g")
	is.True(loading)
	is.Equal(took, Order{Engine: "g", Model: "m", Version: 6})
	is.True(o.orderStates["e"] == nil)

	is.True(timer.Poll(timer.Real{}, time.Millisecond, 5*time.Second, nil, func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.orderStates["g"].orderCount == 1
	}))
	o.latest["m"] = 9
	clock.Advance(loadTimeout)
	upstreams.SetEvacuated(nil)
	reconcile()
	_, loading = ordered("e")
	is.True(loading)
}

package slowstart

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// optimisticStore takes a transaction without an answer for one that was carried out.
type optimisticStore struct{ keyvalue.TransactionalStore }

// Commit implements keyvalue.TransactionalStore.
func (s optimisticStore) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	rev, err := s.TransactionalStore.Commit(ctx, tx)
	if err != nil && !errors.Is(err, keyvalue.ErrConflict) {
		return 1, nil
	}
	return rev, err
}

// unconditionalStore ignores the conditions of transactions.
type unconditionalStore struct{ keyvalue.TransactionalStore }

// Commit implements keyvalue.TransactionalStore.
func (s unconditionalStore) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	tx.Expects = nil
	return s.TransactionalStore.Commit(ctx, tx)
}

// mechanisms are the parts that can be switched off to show that the property needs them.
type mechanisms struct {
	wrap      func(keyvalue.TransactionalStore) keyvalue.TransactionalStore
	unchecked bool
}

// instance is one instance with its view of the upstream.
type instance struct {
	claims  *Claims
	u       *catalog.Upstream
	pending []Permit
	// checked is the number of requests that will be written when the pause ends.
	checked int
	paused  bool
}

// fleet is a number of instances that send to one upstream.
type fleet struct {
	clock     *timer.Manual
	store     *memorystore.Store
	config    *catalog.Holder
	terms     Terms
	m         mechanisms
	started   int
	instances []*instance
	// arrivals are the times at which requests reached the upstream while it was cold.
	arrivals []timer.Instant
}

const coldFor = time.Hour

// start returns an instance that has just started.
func (f *fleet) start(name int, left time.Duration) *instance {
	f.started++
	limiter := &Limiter{Config: f.config, Timer: f.clock, Overage: f.terms.Overage, Slack: f.terms.Slack}
	upstreams := &catalog.Upstreams{Timer: f.clock}
	upstreams.SetServices(f.config.Current().Services)
	upstreams.Update([]catalog.Entry{{ID: "u", Service: "s", Address: "a", Slots: 8, Born: 1, ColdFor: left}}, nil)
	var store keyvalue.TransactionalStore = f.store
	if f.m.wrap != nil {
		store = f.m.wrap(store)
	}
	return &instance{
		u: upstreams.Group("s").Upstreams[0],
		claims: &Claims{
			Store:     store,
			Upstreams: upstreams,
			Limiter:   limiter,
			Timer:     f.clock,
			Self:      Holder{Instance: fmt.Sprint(name), Incarnation: fmt.Sprint(f.started)},
		},
	}
}

// check returns whether a request may be written.
func (f *fleet) check(p *Permit) bool { return p.Check() == nil || f.m.unchecked }

// write writes the pending requests of an instance.
func (f *fleet) write(in *instance) {
	for i := range in.pending {
		if f.check(&in.pending[i]) {
			f.arrivals = append(f.arrivals, f.clock.Now())
		}
	}
	in.pending = nil
}

// step lets one instance do something.
func (f *fleet) step(t *rapid.T) {
	i := rapid.IntRange(0, len(f.instances)-1).Draw(t, "instance")
	in, now := f.instances[i], f.clock.Now()
	action := rapid.SampledFrom([]string{"send", "send", "send", "claim", "claim", "write", "pause", "advance", "advance", "lost", "restart", "late", "again", "listed"}).Draw(t, "action")
	switch action {
	case "advance":
		f.clock.Advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		return
	case "late":
		f.store.ApplyDelayed()
		return
	case "lost":
		fault := rapid.SampledFrom([]memorystore.Fault{memorystore.None, memorystore.Down, memorystore.LostAfter, memorystore.Delayed}).Draw(t, "fault")
		f.store.Fault = func(memorystore.Operation) memorystore.Fault { return fault }
		return
	}
	if in.paused {
		if action == "write" {
			for range in.checked {
				f.arrivals = append(f.arrivals, now)
			}
			in.checked, in.paused = 0, false
		}
		return
	}
	switch action {
	case "send":
		if in.u.Held(now) {
			in.u.WantShare(now)
		} else if p, ok := in.claims.Limiter.Take(in.u, "", now); ok {
			in.pending = append(in.pending, p)
			if rapid.Bool().Draw(t, "ready") {
				f.write(in)
			}
		}
	case "claim":
		_, _ = in.claims.claimOnce(context.Background())
	case "write":
		f.write(in)
	case "pause":
		// Paused between the check and the write.
		in.paused = true
		for i := range in.pending {
			if f.check(&in.pending[i]) {
				in.checked++
			}
		}
		in.pending = nil
	case "restart":
		f.instances[i] = f.start(i, coldFor)
	case "again":
		in.u.RecordColdness(coldFor, now, now)
	case "listed":
		// A connection is lost, and an entry of the same incarnation shows that the upstream
		// did not restart.
		in.u.ConnectionLost(now)
		in.u.RecordListedColdness(coldFor, now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "age"))), now)
	}
}

// runFleet checks that no window of a second has more requests than the terms allow. The upstream
// becomes cold while requests of all instances are on their way to it.
func runFleet(m mechanisms) func(*rapid.T) {
	return func(t *rapid.T) {
		f := &fleet{
			clock:  &timer.Manual{},
			config: &catalog.Holder{},
			m:      m,
			terms: Terms{
				Rate:    float64(rapid.IntRange(1, 60).Draw(t, "rate")) / 2,
				Overage: 1.5,
				Slack:   float64(rapid.IntRange(0, 5).Draw(t, "slack")),
			},
		}
		f.clock.Advance(time.Hour)
		f.store = &memorystore.Store{Timer: f.clock}
		f.config.Update(catalog.Configuration{Version: 1, Services: map[string]catalog.Service{
			"s": {Name: "s", ColdStart: coldFor, ColdRate: f.terms.Rate},
		}}.WithIndex())
		for i := range rapid.IntRange(1, 8).Draw(t, "instances") {
			in := f.start(i, 0)
			for range 3 {
				p, _ := in.claims.Limiter.Take(in.u, "", f.clock.Now())
				in.pending = append(in.pending, p)
			}
			in.u.RecordColdness(coldFor, f.clock.Now(), f.clock.Now())
			f.instances = append(f.instances, in)
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			f.step(t)
		}
		allowed := f.terms.Rate*f.terms.Overage + f.terms.Slack
		first := 0
		for last, at := range f.arrivals {
			for at.Sub(f.arrivals[first]) > window {
				first++
			}
			if n := last - first + 1; float64(n) > allowed {
				t.Fatalf("%d requests within a second, allowed %.1f", n, allowed)
			}
		}
	}
}

// Guards against more requests to a cold upstream than it can take, whatever instances are paused,
// restarted or without answers of the store.
func TestFleetKeepsBound(t *testing.T) {
	property.Check(t, runFleet(mechanisms{}))
}

// Shows that the property detects requests that are written with permits that are too old.
func TestFleetNeedsCheckBeforeWrite(t *testing.T) {
	property.CheckFails(t, runFleet(mechanisms{unchecked: true}))
}

// Shows that the property detects shares that are held by two instances.
func TestFleetNeedsConditions(t *testing.T) {
	property.CheckFails(t, runFleet(mechanisms{wrap: func(s keyvalue.TransactionalStore) keyvalue.TransactionalStore { return unconditionalStore{s} }}))
}

// Shows that the property detects shares that are used although their claim had no answer.
func TestFleetNeedsAnswers(t *testing.T) {
	property.CheckFails(t, runFleet(mechanisms{wrap: func(s keyvalue.TransactionalStore) keyvalue.TransactionalStore { return optimisticStore{s} }}))
}

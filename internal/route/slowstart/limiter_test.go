package slowstart

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// newFleet returns a fleet whose upstream takes 4 requests per second, so that 3 instances may
// send one each 750 ms.
func newFleet() *fleet {
	f := &fleet{
		clock:  &timer.Manual{},
		config: &catalog.Holder{},
		terms:  Terms{Rate: 4, Overage: 1.5, Slack: 5},
	}
	f.clock.Advance(time.Hour)
	f.store = &memorystore.Store{Timer: f.clock}
	f.config.Update(catalog.Configuration{Version: 1, Services: map[string]catalog.Service{
		"s": {Name: "s", ColdStart: coldFor, ColdRate: 4, HealthPath: "/health"},
	}}.WithIndex())
	return f
}

// claim lets an instance claim until it wants no more shares.
func (in *instance) claim() {
	in.u.WantShare(in.claims.Timer.Now())
	for range 2 * maxShares {
		if more, _ := in.claims.claimOnce(context.Background()); !more {
			return
		}
	}
}

// take returns the permit of an instance.
func (f *fleet) take(in *instance) (Permit, bool) {
	return in.claims.Limiter.Take(in.u, "x", f.clock.Now())
}

// Guards against requests that are written with a permit that is too old, twice with one permit,
// or to an upstream that was replaced or has become cold since it was chosen.
func TestPermitIsCheckedBeforeTheWrite(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	in := f.start(0, 0)
	onTheWay, ok := f.take(in)
	is.True(ok)
	is.NoErr(onTheWay.Check())
	in.u.RecordColdness(coldFor, f.clock.Now(), f.clock.Now())
	is.True(errors.Is(onTheWay.Check(), engine.ErrWithdrawn))
	_, ok = f.take(in)
	is.True(!ok)
	in.claim()

	p, ok := f.take(in)
	is.True(ok)
	f.clock.Advance(permitValidity)
	is.NoErr(p.Check())
	is.True(errors.Is(p.Check(), engine.ErrWithdrawn)) // another connection
	f.clock.Advance(time.Second)
	p, ok = f.take(in)
	is.True(ok)
	f.clock.Advance(permitValidity + 1)
	is.True(errors.Is(p.Check(), engine.ErrWithdrawn))
	f.clock.Advance(time.Second) // the next permit is available, and replaces the old one
	is.NoErr(p.Check())
	_, ok = f.take(in)
	is.True(!ok)

	f.clock.Advance(time.Second)
	p, ok = f.take(in)
	is.True(ok)
	in.claims.Limiter.RecordLoss(in.u) // the share may be one of an earlier incarnation
	is.True(errors.Is(p.Check(), engine.ErrWithdrawn))
	in.u.EndColdness()
	p, ok = f.take(in)
	is.True(ok)
	in.u.MarkLeaving()
	is.True(errors.Is(p.Check(), engine.ErrWithdrawn))
}

// Guards against a share that passes to another instance: to a fourth one, or to one that restarted
// under the same name.
func TestSharesAreNotTransferred(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	for i := range 5 {
		in := f.start(i, coldFor)
		in.claim()
		is.Equal(in.u.HasShare(), i < 3)
		is.True(!in.u.ShareWanted())
	}
	again := f.start(0, coldFor)
	again.claim()
	is.True(!again.u.HasShare())
	calls := f.store.CallCount(memorystore.Commit)
	again.claim()
	is.Equal(f.store.CallCount(memorystore.Commit), calls) // no further claims
}

// Guards against claims for upstreams that are warm or gone, or whose incarnation is not known.
func TestOnlyUsefulSharesAreClaimed(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	for i, change := range []func(*instance){
		func(in *instance) { in.u.EndColdness() },
		func(in *instance) { in.u.MarkLeaving() },
		func(in *instance) { in.u.ConnectionLost(f.clock.Now()) },
	} {
		in := f.start(i, coldFor)
		in.u.WantShare(f.clock.Now())
		change(in)
		in.claim()
		is.True(!in.u.HasShare() && !in.u.ShareWanted())
	}
	is.Equal(f.store.CallCount(memorystore.Commit), 0)
}

// Guards against a share that is used before it is known to be stored, and against one that is lost
// because its transaction was carried out late.
func TestShareOfLostAnswerIsFoundLater(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.store.Fault = func(memorystore.Operation) memorystore.Fault { return memorystore.Delayed }
	in := f.start(0, coldFor)
	in.u.WantShare(f.clock.Now())
	more, err := in.claims.claimOnce(context.Background())
	is.True(more && err != nil)
	is.True(!in.u.HasShare())
	f.store.Fault = nil
	f.store.ApplyDelayed()
	in.claim()
	is.True(in.u.HasShare())
	listing, err := f.store.Range(context.Background(), Prefix, keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(len(listing.Items), 1)
}

// Guards against permits that are taken twice within an interval, because the upstream got another
// list entry of the same incarnation.
func TestShareIsFoundAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	in := f.start(0, coldFor)
	in.claim()
	_, ok := f.take(in)
	is.True(ok)
	in.claims.Upstreams.Update([]catalog.Entry{{ID: "u", Service: "s", Address: "b", Slots: 8, Born: 1}}, nil)
	old := in.u
	in.u = in.claims.Upstreams.Group("s").Upstreams[0]
	is.True(in.u != old)
	in.claim()
	is.True(in.u.HasShare())
	_, ok = f.take(in)
	is.True(!ok)
	f.clock.Advance(750 * time.Millisecond)
	_, ok = f.take(in)
	is.True(ok)
}

// Guards against shares that fill the store for ever, and against removing those of upstreams that
// are only missing from the list for a while.
func TestCleanupRemovesSharesOfGoneUpstreams(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	in := f.start(0, coldFor)
	in.claim()
	ctx := context.Background()
	count := func() int {
		listing, err := f.store.Range(ctx, Prefix, keyvalue.Fresh)
		is.NoErr(err)
		return len(listing.Items)
	}
	missing := in.claims.cleanUp(ctx, nil)
	is.Equal(len(missing), 0)
	in.claims.Upstreams.Update(nil, []string{"u"})
	missing = in.claims.cleanUp(ctx, missing)
	f.clock.Advance(shareRetention - time.Second)
	missing = in.claims.cleanUp(ctx, missing)
	is.Equal(count(), 1)
	f.clock.Advance(time.Second)
	in.claims.cleanUp(ctx, missing)
	is.Equal(count(), 0)
}

// Guards against shares that are removed while the failure domain of their upstream is evacuated:
// the holders use them when it returns, and other instances would claim them as well.
func TestCleanupKeepsSharesOfEvacuatedUpstreams(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	in := f.start(0, coldFor)
	in.claim()
	in.claims.Upstreams.SetEvacuated(map[string]bool{"": true})
	ctx := context.Background()
	missing := in.claims.cleanUp(ctx, nil)
	f.clock.Advance(shareRetention)
	in.claims.cleanUp(ctx, missing)
	listing, err := f.store.Range(ctx, Prefix, keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(len(listing.Items), 1)
}

// health is a HealthClient that counts the probes.
type health struct {
	limiter *Limiter
	probes  int
}

// Health implements HealthClient.
func (h *health) Health(_ context.Context, u *catalog.Upstream, _ string) error {
	h.probes++
	h.limiter.RecordResponse(u, "0", h.limiter.Timer.Now())
	return nil
}

// Guards against an instance without a share that holds back its requests for ever after a lost
// connection to an upstream that did not restart.
func TestProbeEndsTheDoubt(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	in := f.start(0, 0)
	h := &health{limiter: in.claims.Limiter}
	p := &Prober{Upstreams: in.claims.Upstreams, Limiter: in.claims.Limiter, Client: h, Timer: f.clock}
	is.True(!p.probeDue(context.Background()))
	in.claims.Limiter.RecordLoss(in.u)
	is.True(!in.u.Usable(f.clock.Now()))
	is.True(p.probeDue(context.Background()))
	is.Equal(h.probes, 0) // not at once, together with the whole fleet
	f.clock.Advance(2 * initialProbeDelay)
	p.probeDue(context.Background())
	is.Equal(h.probes, 1)
	is.True(in.u.Usable(f.clock.Now()))
	is.True(!p.probeDue(context.Background()))
}

// unreachable is a HealthClient whose upstreams don't answer. It counts the probes by upstream.
type unreachable struct {
	mu     sync.Mutex
	probes map[string]int
}

// Health implements HealthClient.
func (h *unreachable) Health(_ context.Context, u *catalog.Upstream, _ string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probes[u.ID]++
	return errors.New("unreachable")
}

// Guards against a probe that comes only after the timeouts of many upstreams that are gone.
func TestFirstProbesPrecedeRepeatedOnes(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	in := f.start(0, 0)
	var entries []catalog.Entry
	for i := range 5 * maxProbes {
		entries = append(entries, catalog.Entry{ID: fmt.Sprint("gone", i), Service: "s", Address: "a", Born: 1})
	}
	in.claims.Upstreams.Update(entries, nil)
	h := &unreachable{probes: make(map[string]int)}
	p := &Prober{Upstreams: in.claims.Upstreams, Limiter: in.claims.Limiter, Client: h, Timer: f.clock}
	for _, u := range in.claims.Upstreams.Group("s").Upstreams {
		if u.ID != "u" {
			u.ConnectionLost(f.clock.Now())
		}
	}
	p.probeDue(context.Background())
	for range 10 {
		f.clock.Advance(2 * maxProbeDelay)
		p.probeDue(context.Background())
	}
	in.claims.Limiter.RecordLoss(in.u)
	p.probeDue(context.Background())
	f.clock.Advance(2 * maxProbeDelay)
	clear(h.probes)
	p.probeDue(context.Background())
	is.Equal(h.probes["u"], 1)
	is.Equal(len(h.probes), maxProbes)
}

// Guards against unusable figures in responses that end the coldness.
func TestUnusableResponseIsAssumedCold(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	in := f.start(0, 0)
	now := f.clock.Now()
	for _, value := range []string{"x", "-1", "NaN", "1e300", "86400000"} {
		in.u.EndColdness()
		in.claims.Limiter.RecordResponse(in.u, value, now)
		is.Equal(in.u.HeldUntil(), now.Add(coldFor))
	}
	in.claims.Limiter.RecordResponse(in.u, "1500", now)
	is.Equal(in.u.HeldUntil(), now.Add(1500*time.Millisecond))
}

// Guards against costs on the path of each request.
func TestPermitsDoNotAllocate(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	warm, cold := f.start(0, 0), f.start(1, coldFor)
	cold.claim()
	is.Equal(testing.AllocsPerRun(100, func() {
		f.clock.Advance(time.Second)
		for _, in := range []*instance{warm, cold} {
			p, _ := f.take(in)
			_ = p.Check()
		}
	}), 0.0)
	f.config.Update(catalog.Configuration{Version: 2, Services: map[string]catalog.Service{"s": {Name: "s"}}}.WithIndex())
	ctx := context.Background()
	is.Equal(testing.AllocsPerRun(100, func() {
		p, ok := f.take(warm)
		is.True(ok)
		is.True(p.Guard(ctx) == ctx) // no check without a slow start
	}), 0.0)
}

// BenchmarkTake measures the check on the path of a request to a warm upstream, with and without a
// slow start of its service.
func BenchmarkTake(b *testing.B) {
	f := newFleet()
	in := f.start(0, 0)
	now := f.clock.Now()
	for name, limiter := range map[string]*Limiter{"slow start": in.claims.Limiter, "off": nil} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if !in.u.Usable(now) {
					b.Fatal("held")
				}
				p, _ := limiter.Take(in.u, "x", now)
				_ = p.Check()
			}
		})
	}
}

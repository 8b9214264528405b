package duty

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/proof"
	"github.com/egretbend/egretbend/internal/standin/space"
)

const (
	dutyKey = "duty"
	// leaseTTL is that of the registry.
	leaseTTL = 2200 * time.Millisecond
)

func sign(name string) string { return "instance/" + name }

// presence is the view of one instance, kept by hand.
type presence struct {
	clock   timer.Service
	lease   uint64
	renewed timer.Instant
	duty    string
	present map[string]bool
	first   string
}

// Lease implements Presence.
func (p *presence) Lease(within time.Duration) (uint64, bool) {
	return p.lease, p.lease != 0 && p.clock.Now().Sub(p.renewed) < within
}

// Duty implements Presence.
func (p *presence) Duty(string) string { return p.duty }

// Present implements Presence.
func (p *presence) Present(name string) bool { return p.present[name] }

// First implements Presence.
func (p *presence) First() string { return p.first }

// Synced implements Presence.
func (p *presence) Synced() bool { return true }

func newHolder(clock timer.Service, store *space.Space, name string) (*Holder, *presence) {
	p := &presence{
		clock:   clock,
		present: map[string]bool{},
		first:   name,
	}
	return &Holder{
		Space:    store,
		Presence: p,
		Timer:    clock,
		Key:      dutyKey,
		Sign:     sign,
		Name:     name,
	}, p
}

// Guards against a holder that waits for seconds after a loss of power of all instances.
func TestHolderThatStartsAgainGoesOn(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &space.Space{
		Timer: clock,
	}
	h, p := newHolder(clock, store, "a")
	p.lease, p.renewed = 1, clock.Now()
	is.NoErr(h.Keep(ctx))
	first, ok := h.Fence()
	is.True(ok)

	again, p := newHolder(clock, store, "a")
	p.lease, p.renewed, p.duty, p.first = 2, clock.Now(), "a", "b"
	is.NoErr(again.Keep(ctx))
	second, ok := again.Fence()
	is.True(ok)             // at once
	is.True(second > first) // engines that check fencing tokens take it
}

// turns drives two instances through pauses, lapses of leases and revocations.
// Each gives an order whenever it may. hurry leaves out the wait of a new holder.
func turns(t *rapid.T, hurry bool) {
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &space.Space{
		Timer: clock,
	}
	type node struct {
		h     *Holder
		p     *presence
		pause int
	}
	nodes := map[string]*node{}
	for _, name := range []string{"a", "b"} {
		h, p := newHolder(clock, store, name)
		nodes[name] = &node{
			h: h,
			p: p,
		}
	}
	last := map[string]timer.Instant{}
	for range rapid.IntRange(10, 200).Draw(t, "steps") {
		clock.Advance(100 * time.Millisecond)
		for _, name := range []string{"a", "b"} {
			n := nodes[name]
			if n.pause > 0 {
				n.pause--
				continue
			}
			switch rapid.IntRange(0, 60).Draw(t, "event "+name) {
			case 0:
				n.pause = rapid.IntRange(1, 60).Draw(t, "pause")
				continue
			case 1:
				store.Lapse(n.p.lease)
			}
			if rapid.IntRange(0, 6).Draw(t, "renews") == 0 {
				if err := n.p.renew(ctx, store, name); err != nil {
					t.Fatal(err)
				}
			}
			n.p.look(ctx, store)
			if err := n.h.Keep(ctx); err != nil {
				t.Fatal(err)
			}
			if hurry {
				n.h.begins = 0
			}
			if _, ok := n.h.Fence(); !ok {
				continue
			}
			other := "a"
			if name == "a" {
				other = "b"
			}
			if at, ok := last[other]; ok && clock.Now().Sub(at) < 3*time.Second && last[name] < at {
				t.Fatalf("an order of %s %v after one of %s", name, clock.Now().Sub(at), other)
			}
			last[name] = clock.Now()
		}
	}
}

// renew keeps the lease and key of an instance, as the registry does.
func (p *presence) renew(ctx context.Context, store *space.Space, name string) error {
	if p.lease != 0 && store.KeepAlive(ctx, p.lease) == nil {
		p.renewed = p.clock.Now()
		return nil
	}
	lease, err := store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	p.lease, p.renewed = lease, p.clock.Now()
	_, err = store.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: sign(name), Value: []byte(name), Lease: lease},
		},
	})
	return err
}

// look reads the view from the service.
func (p *presence) look(ctx context.Context, store *space.Space) {
	p.present = map[string]bool{}
	p.first = ""
	for _, name := range []string{"a", "b"} {
		if _, err := store.Get(ctx, sign(name)); err == nil {
			p.present[name] = true
			if p.first == "" {
				p.first = name
			}
		}
	}
	p.duty = ""
	if item, err := store.Get(ctx, dutyKey); err == nil {
		p.duty = string(item.Value)
	}
}

// holding returns a holder "a" that may give orders.
func holding(is *is.I) (*timer.Manual, *space.Space, *Holder, *presence) {
	clock := &timer.Manual{}
	store := &space.Space{
		Timer: clock,
	}
	h, p := newHolder(clock, store, "a")
	is.NoErr(p.renew(context.Background(), store, "a"))
	is.NoErr(h.Keep(context.Background()))
	return clock, store, h, p
}

// Guards against a new holder that waits for the one before twice.
func TestNextHolderWaitsFromTheDeparture(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock, store, _, _ := holding(is)
	b, pb := newHolder(clock, store, "b")
	const tick = 100 * time.Millisecond
	for since := time.Duration(0); since < leaseTTL+TurnWait+2*keepEvery; since += tick {
		clock.Advance(tick)
		if since%(5*tick) == 0 {
			is.NoErr(pb.renew(ctx, store, "b"))
		}
		pb.look(ctx, store)
		if since%keepEvery != 0 {
			continue
		}
		is.NoErr(b.Keep(ctx))
		if _, ok := b.Fence(); ok {
			is.True(since >= leaseTTL+3*time.Second) // never before the last order of a is old
			return
		}
	}
	t.Fatal("no orders for longer than a lease and a turn")
}

// Guards against a new holder that counts an absence which the one before has ended.
func TestDepartureEndsWhenTheHolderComesBack(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock, store, a, pa := holding(is)
	b, pb := newHolder(clock, store, "b")
	store.Lapse(pa.lease)
	clock.Advance(tickOf)
	is.NoErr(pb.renew(ctx, store, "b"))
	pb.look(ctx, store)
	is.NoErr(b.Keep(ctx)) // b finds a missing
	is.NoErr(pa.renew(ctx, store, "a"))
	pa.look(ctx, store)
	is.NoErr(a.Keep(ctx))
	_, ok := a.Fence()
	is.True(ok) // a goes on under another lease
	store.Lapse(pa.lease)
	clock.Advance(absence)
	// The view of b has missed that a was back.
	is.NoErr(pb.renew(ctx, store, "b"))
	is.NoErr(b.Keep(ctx))
	clock.Advance(TurnWait - absence)
	is.NoErr(pb.renew(ctx, store, "b"))
	is.NoErr(b.Keep(ctx))
	_, ok = b.Fence()
	is.Equal(ok, false)
}

const tickOf = 100 * time.Millisecond

// Guards against engines that get orders of two holders within three seconds.
func TestHoldersTakeNoQuickTurns(t *testing.T) {
	proof.CheckN(t, 200, func(t *rapid.T) { turns(t, false) })
}

// Without the wait two holders meet at an engine.
func TestHoldersMeetWithoutTheWait(t *testing.T) {
	proof.Refute(t, func(t *rapid.T) { turns(t, true) })
}

package duty

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
	"github.com/egretbend/egretbend/internal/standin/property"
)

const (
	dutyKey = "duty"
	// leaseTTL is the lease duration of the registry.
	leaseTTL = 2200 * time.Millisecond
)

func instanceKey(name string) string { return "instance/" + name }

// fakePresence is a Presence whose view the test sets.
type fakePresence struct {
	clock   timer.Service
	lease   uint64
	renewed timer.Instant
	holder  string
	present map[string]bool
	first   string
}

// LeaseRenewedWithin implements Presence.
func (p *fakePresence) LeaseRenewedWithin(within time.Duration) (uint64, bool) {
	return p.lease, p.lease != 0 && p.clock.Now().Sub(p.renewed) < within
}

// DutyValue implements Presence.
func (p *fakePresence) DutyValue(string) string { return p.holder }

// Present implements Presence.
func (p *fakePresence) Present(name string) bool { return p.present[name] }

// FirstEligible implements Presence.
func (p *fakePresence) FirstEligible() string { return p.first }

// Synced implements Presence.
func (p *fakePresence) Synced() bool { return true }

func newHolder(clock timer.Service, store *memorystore.Store, name string) (*Holder, *fakePresence) {
	p := &fakePresence{
		clock:   clock,
		present: map[string]bool{},
		first:   name,
	}
	return &Holder{
		Store:       store,
		Presence:    p,
		Timer:       clock,
		Key:         dutyKey,
		InstanceKey: instanceKey,
		Name:        name,
	}, p
}

// Guards against a holder that waits for seconds when it restarts, as after a power loss
// of all instances.
func TestRestartedHolderContinuesAtOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &memorystore.Store{
		Timer: clock,
	}
	h, p := newHolder(clock, store, "a")
	p.lease, p.renewed = 1, clock.Now()
	is.NoErr(h.Maintain(ctx))
	first, ok := h.FencingToken()
	is.True(ok)

	restarted, p := newHolder(clock, store, "a")
	p.lease, p.renewed, p.holder, p.first = 2, clock.Now(), "a", "b"
	is.NoErr(restarted.Maintain(ctx))
	second, ok := restarted.FencingToken()
	is.True(ok)             // without a wait
	is.True(second > first) // engines that check fencing tokens accept it
}

// simulateHolders drives two instances through pauses, expired leases and revoked leases.
// Each gives an order whenever it may; an order less than three seconds after one of the
// other instance fails the test. skipWait disables the wait of a new holder.
func simulateHolders(t *rapid.T, skipWait bool) {
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &memorystore.Store{
		Timer: clock,
	}
	type node struct {
		h     *Holder
		p     *fakePresence
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
	lastOrder := map[string]timer.Instant{}
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
				store.ExpireLease(n.p.lease)
			}
			if rapid.IntRange(0, 6).Draw(t, "renews") == 0 {
				if err := n.p.renew(ctx, store, name); err != nil {
					t.Fatal(err)
				}
			}
			n.p.readView(ctx, store)
			if err := n.h.Maintain(ctx); err != nil {
				t.Fatal(err)
			}
			if skipWait {
				n.h.callsFrom = 0
			}
			if _, ok := n.h.FencingToken(); !ok {
				continue
			}
			other := "a"
			if name == "a" {
				other = "b"
			}
			if at, ok := lastOrder[other]; ok && clock.Now().Sub(at) < 3*time.Second && lastOrder[name] < at {
				t.Fatalf("an order of %s %v after one of %s", name, clock.Now().Sub(at), other)
			}
			lastOrder[name] = clock.Now()
		}
	}
}

// renew renews the lease of an instance, or writes its key under a new one, as the
// registry does.
func (p *fakePresence) renew(ctx context.Context, store *memorystore.Store, name string) error {
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
			{Key: instanceKey(name), Value: []byte(name), Lease: lease},
		},
	})
	return err
}

// readView reads the view from the key-value service.
func (p *fakePresence) readView(ctx context.Context, store *memorystore.Store) {
	p.present = map[string]bool{}
	p.first = ""
	for _, name := range []string{"a", "b"} {
		if _, err := store.Get(ctx, instanceKey(name)); err == nil {
			p.present[name] = true
			if p.first == "" {
				p.first = name
			}
		}
	}
	p.holder = ""
	if item, err := store.Get(ctx, dutyKey); err == nil {
		p.holder = string(item.Value)
	}
}

// newActiveHolder returns a holder "a" that may give orders.
func newActiveHolder(is *is.I) (*timer.Manual, *memorystore.Store, *Holder, *fakePresence) {
	clock := &timer.Manual{}
	store := &memorystore.Store{
		Timer: clock,
	}
	h, p := newHolder(clock, store, "a")
	is.NoErr(p.renew(context.Background(), store, "a"))
	is.NoErr(h.Maintain(context.Background()))
	return clock, store, h, p
}

// Guards against a new holder whose wait counts from its acquisition of the duty instead
// of from the detection that the previous holder is missing.
func TestSuccessorWaitsFromDetectedAbsence(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock, store, _, _ := newActiveHolder(is)
	b, pb := newHolder(clock, store, "b")
	const step = 100 * time.Millisecond
	for since := time.Duration(0); since < leaseTTL+HandoverWait+2*keepInterval; since += step {
		clock.Advance(step)
		if since%(5*step) == 0 {
			is.NoErr(pb.renew(ctx, store, "b"))
		}
		pb.readView(ctx, store)
		if since%keepInterval != 0 {
			continue
		}
		is.NoErr(b.Maintain(ctx))
		if _, ok := b.FencingToken(); ok {
			is.True(since >= leaseTTL+3*time.Second) // the last order of a is at least three seconds old
			return
		}
	}
	t.Fatal("b gave no orders within a lease duration, HandoverWait and two checks")
}

// Guards against a new holder that counts its wait from an absence after which the
// previous holder came back and gave orders again.
func TestHolderReturnResetsDetectedAbsence(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock, store, a, pa := newActiveHolder(is)
	b, pb := newHolder(clock, store, "b")
	store.ExpireLease(pa.lease)
	clock.Advance(tick)
	is.NoErr(pb.renew(ctx, store, "b"))
	pb.readView(ctx, store)
	is.NoErr(b.Maintain(ctx)) // b records that a is missing
	is.NoErr(pa.renew(ctx, store, "a"))
	pa.readView(ctx, store)
	is.NoErr(a.Maintain(ctx))
	_, ok := a.FencingToken()
	is.True(ok) // a continues under another lease
	store.ExpireLease(pa.lease)
	clock.Advance(takeoverDelay)
	// b's view has not been read since, so b does not know that a was back.
	is.NoErr(pb.renew(ctx, store, "b"))
	is.NoErr(b.Maintain(ctx))
	clock.Advance(HandoverWait - takeoverDelay)
	is.NoErr(pb.renew(ctx, store, "b"))
	is.NoErr(b.Maintain(ctx))
	_, ok = b.FencingToken()
	is.Equal(ok, false)
}

const tick = 100 * time.Millisecond

// Guards against engines that get orders from two holders within three seconds.
func TestHoldersKeepHandoverWait(t *testing.T) {
	property.CheckN(t, 200, func(t *rapid.T) { simulateHolders(t, false) })
}

// Shows that without the wait of a new holder, engines get orders from two holders within
// three seconds.
func TestHoldersOverlapWithoutHandoverWait(t *testing.T) {
	property.CheckFails(t, func(t *rapid.T) { simulateHolders(t, true) })
}

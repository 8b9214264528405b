package duty

import (
	"cmp"
	"context"
	"errors"
	"slices"
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

// LeaseRenewed implements Presence.
func (p *fakePresence) LeaseRenewed() (uint64, timer.Instant, bool) {
	return p.lease, p.renewed, p.lease != 0
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

// node is an instance of a simulation and its calls in progress.
type node struct {
	h     *Holder
	p     *fakePresence
	pause int
	calls []*call
}

// call is a call of the duty. It is written at writeAt if it may be, and arrives at arrivesAt.
type call struct {
	fence                         uint64
	end                           func()
	writeAt, deadline, arrivesAt  timer.Instant
	written, delivered, abandoned bool
}

// arrival is a call that has arrived.
type arrival struct {
	at     timer.Instant
	holder string
	fence  uint64
}

// begin begins a call if the instance may.
func (n *node) begin(t *rapid.T, now timer.Instant) {
	fence, ok := n.h.FencingToken()
	if !ok {
		return
	}
	timeout := time.Duration(rapid.SampledFrom([]int{600, 900}).Draw(t, "timeout")) * time.Millisecond
	ctx, end, err := n.h.BeginCall(context.Background(), fence, timeout)
	if err != nil {
		return
	}
	until, _ := ctx.Deadline()
	n.calls = append(n.calls, &call{
		fence:    fence,
		end:      end,
		writeAt:  now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "write")) * tick),
		deadline: now.Add(time.Until(until).Round(tick)),
	})
}

// step writes the calls that are due and resets the connections of those whose deadline has
// passed, and returns the calls that have arrived by then. A network that holds bytes up
// delivers them at any time until the connection is reset.
func (n *node) step(t *rapid.T, now timer.Instant) (arrived []*call) {
	n.calls = slices.DeleteFunc(n.calls, func(c *call) bool {
		if !c.written && now >= c.writeAt {
			c.abandoned = n.h.checkCall(c.fence, c.deadline) != nil
			c.written = true
			c.arrivesAt = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * tick)
			c.delivered = !c.abandoned && c.arrivesAt <= now.Add(DeliveryTimeout+networkDelay)
		}
		ended := c.abandoned || now >= c.deadline || c.delivered && now >= c.arrivesAt
		if ended {
			if c.delivered && c.arrivesAt <= now.Add(networkDelay) {
				arrived = append(arrived, c)
			}
			c.end()
		}
		return ended
	})
	return arrived
}

// simulateHolders drives two instances through pauses, expired leases and revoked leases.
// Each makes calls whenever it may, over a network that holds them up. A call that arrives
// under a lower fencing token than an earlier one, or less than three seconds after one of the
// same instance with one of the other in between, fails the test. skipWait disables the wait of a new holder.
func simulateHolders(t *rapid.T, skipWait bool) {
	ctx := context.Background()
	clock := &timer.Manual{}
	store := &memorystore.Store{
		Timer: clock,
	}
	nodes := map[string]*node{}
	for _, name := range []string{"a", "b"} {
		h, p := newHolder(clock, store, name)
		nodes[name] = &node{
			h: h,
			p: p,
		}
	}
	var arrivals []arrival
	for range rapid.IntRange(10, 200).Draw(t, "steps") {
		clock.Advance(tick)
		for _, name := range []string{"a", "b"} {
			n := nodes[name]
			if n.pause > 0 {
				n.pause--
				continue
			}
			for _, c := range n.step(t, clock.Now()) {
				arrivals = append(arrivals, arrival{c.arrivesAt, name, c.fence})
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
			n.begin(t, clock.Now())
		}
	}
	slices.SortStableFunc(arrivals, func(x, y arrival) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.fence, y.fence))
	})
	var last, beforeOther *arrival // beforeOther is the last one of the holder before last's
	for i := range arrivals {
		a := &arrivals[i]
		if last != nil && a.fence < last.fence {
			t.Fatalf("%+v arrived after %+v", a, last)
		}
		if last != nil && a.holder != last.holder {
			if beforeOther != nil && a.at.Sub(beforeOther.at) < 3*time.Second {
				t.Fatalf("%+v arrived after %+v and %+v", a, beforeOther, last)
			}
			beforeOther = last
		}
		last = a
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
			is.True(since >= leaseTTL+maxLeaseAge) // a could not have given an order for that long
			is.True(since < leaseTTL+HandoverWait+keepInterval)
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

// Guards against a call that outlasts the permission of its holder, and against one that is
// written late because its instance was paused.
func TestCallEndsWithPermission(t *testing.T) {
	is := is.New(t)
	clock, _, h, _ := newActiveHolder(is)
	fence, ok := h.FencingToken()
	is.True(ok)
	clock.Advance(maxLeaseAge - 3*tick)
	ctx, end, err := h.BeginCall(context.Background(), fence, time.Minute)
	is.NoErr(err)
	defer end()
	deadline, ok := ctx.Deadline()
	is.True(ok)
	is.True(time.Until(deadline) <= 3*tick)
	is.NoErr(h.checkCall(fence, clock.Now().Add(3*tick)))
	clock.Advance(2 * tick)
	is.True(errors.Is(h.checkCall(fence, clock.Now().Add(tick)), ErrWithheld))
	_, _, err = h.BeginCall(context.Background(), fence, time.Minute)
	is.True(errors.Is(err, ErrWithheld))
}

const tick = 100 * time.Millisecond

// Guards against holders that take turns within three seconds, and calls with a lower fencing
// token after a higher one, as when a healed partition delivers what it held up.
func TestHoldersKeepHandoverWait(t *testing.T) {
	property.CheckN(t, 200, func(t *rapid.T) { simulateHolders(t, false) })
}

// Shows that without the wait of a new holder, engines get orders of holders that take turns
// within three seconds, or under a lower fencing token.
func TestHoldersOverlapWithoutHandoverWait(t *testing.T) {
	property.CheckFails(t, func(t *rapid.T) { simulateHolders(t, true) })
}

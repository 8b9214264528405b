package lease_test

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/lease"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// fakeStore is a key-value service that holds one item under a lease, and whose
// calls may fail before or after they take effect.
type fakeStore struct {
	clock    *timer.Manual
	item     keyvalue.Item
	revision uint64
	// expiry holds the expiry of each lease.
	expiry    map[uint64]timer.Instant
	lastLease uint64
	// fault is "down" if calls are rejected, "lost" if they take effect but their
	// answers are lost, and empty if they succeed.
	fault string
}

// expire removes the leases that have expired, with the item if it is under one.
func (s *fakeStore) expire() {
	for id, expiry := range s.expiry {
		if s.clock.Now() >= expiry {
			delete(s.expiry, id)
			if s.item.Lease == id {
				s.item = keyvalue.Item{}
			}
		}
	}
}

// injectFault returns the error of the present call, if the fault fails it at
// this point: before it takes effect, or after if applied is set.
func (s *fakeStore) injectFault(applied bool) error {
	s.expire()
	switch {
	case s.fault == "down" && !applied:
		return keyvalue.ErrUnavailable
	case s.fault == "lost" && applied:
		return keyvalue.ErrOutcomeUnknown
	}
	return nil
}

// Get implements keyvalue.Store.
func (s *fakeStore) Get(context.Context, string) (keyvalue.Item, error) {
	if err := s.injectFault(false); err != nil {
		return keyvalue.Item{}, err
	}
	if s.item.Revision == 0 {
		return keyvalue.Item{}, keyvalue.ErrNotFound
	}
	return s.item, s.injectFault(true)
}

// Put implements keyvalue.Store.
func (s *fakeStore) Put(_ context.Context, key string, value []byte, expect, id uint64) (uint64, error) {
	if err := s.injectFault(false); err != nil {
		return 0, err
	}
	if s.item.Revision != expect {
		return 0, keyvalue.ErrConflict
	}
	s.revision++
	s.item = keyvalue.Item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Lease:    id,
	}
	return s.revision, s.injectFault(true)
}

// Watch implements keyvalue.Store.
func (s *fakeStore) Watch(context.Context, string, uint64) (keyvalue.Item, error) {
	return keyvalue.Item{}, keyvalue.ErrNoChange
}

// Grant implements keyvalue.Store.
func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	if err := s.injectFault(false); err != nil {
		return 0, err
	}
	s.lastLease++
	s.expiry[s.lastLease] = s.clock.Now().Add(ttl)
	return s.lastLease, s.injectFault(true)
}

// KeepAlive implements keyvalue.Store.
func (s *fakeStore) KeepAlive(_ context.Context, id uint64) error {
	if err := s.injectFault(false); err != nil {
		return err
	}
	if _, ok := s.expiry[id]; !ok {
		return keyvalue.ErrLeaseGone
	}
	s.expiry[id] = s.clock.Now().Add(lease.TTL)
	return s.injectFault(true)
}

// Revoke implements keyvalue.Store.
func (s *fakeStore) Revoke(_ context.Context, id uint64) error {
	if err := s.injectFault(false); err != nil {
		return err
	}
	s.expiry[id] = s.clock.Now()
	s.expire()
	return s.injectFault(true)
}

const candidates = 3

// historyProperty returns a property that takes several candidates through
// outages, lost answers and pauses. It checks that at most one of them holds the
// lease by held, and that fencing numbers never decrease.
func historyProperty(held func(h *lease.Holder, now timer.Instant) (uint64, bool)) func(*rapid.T) {
	return func(t *rapid.T) {
		clock := &timer.Manual{}
		clock.Advance(time.Second)
		s := &fakeStore{
			clock:  clock,
			expiry: make(map[uint64]timer.Instant),
		}
		var holders []*lease.Holder
		for range candidates {
			holders = append(holders, &lease.Holder{
				Store:     s,
				Timer:     clock,
				Key:       "k",
				Candidate: func() bool { return true },
			})
		}
		highest := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				holders[rapid.IntRange(0, candidates-1).Draw(t, "holder")].Step(context.Background())
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"fate": func(t *rapid.T) {
				s.fault = rapid.SampledFrom([]string{"", "", "down", "lost"}).Draw(t, "fate")
			},
			"": func(t *rapid.T) {
				n := 0
				for _, h := range holders {
					number, ok := held(h, clock.Now())
					if !ok {
						continue
					}
					n++
					if number < highest {
						t.Fatalf("a holder uses fencing number %d after %d was used", number, highest)
					}
					highest = number
				}
				if n > 1 {
					t.Fatalf("%d instances believe that they hold the lease", n)
				}
			},
		})
	}
}

// A holder is paused until after its lease expired and another instance acquired
// it; the service is down or loses answers. Two instances that act as holder at
// once would order the same engines to different versions.
func TestOneHolderAtATimeWithIncreasingNumbers(t *testing.T) {
	property.Check(t, historyProperty(func(h *lease.Holder, now timer.Instant) (uint64, bool) { return h.Held(now) }))
}

// A holder that does not compare with the clock still considers the lease held
// after a pause.
func TestPausedHolderKeepsLeaseWithoutClockCheck(t *testing.T) {
	property.CheckFails(t, historyProperty(func(h *lease.Holder, _ timer.Instant) (uint64, bool) { return h.Held(0) }))
}

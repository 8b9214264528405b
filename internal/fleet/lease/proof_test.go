package lease_test

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/lease"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

// store is a key-value service with one item under a lease. What it applied it
// does not always get to say.
type store struct {
	clock *timer.Manual
	item  keyvalue.Item
	rev   uint64
	until map[uint64]timer.Instant
	next  uint64
	fate  string
}

func (s *store) expire() {
	for id, until := range s.until {
		if s.clock.Now() >= until {
			delete(s.until, id)
			if s.item.Lease == id {
				s.item = keyvalue.Item{}
			}
		}
	}
}

// fail returns the fault of one call, before or after it takes effect.
func (s *store) fail(after bool) error {
	s.expire()
	switch {
	case s.fate == "down" && !after:
		return keyvalue.ErrDown
	case s.fate == "lost" && after:
		return keyvalue.ErrLost
	}
	return nil
}

// Get implements keyvalue.Store.
func (s *store) Get(context.Context, string) (keyvalue.Item, error) {
	if err := s.fail(false); err != nil {
		return keyvalue.Item{}, err
	}
	if s.item.Revision == 0 {
		return keyvalue.Item{}, keyvalue.ErrNotFound
	}
	return s.item, s.fail(true)
}

// Put implements keyvalue.Store.
func (s *store) Put(_ context.Context, key string, value []byte, expect, id uint64) (uint64, error) {
	if err := s.fail(false); err != nil {
		return 0, err
	}
	if s.item.Revision != expect {
		return 0, keyvalue.ErrConflict
	}
	s.rev++
	s.item = keyvalue.Item{
		Key:      key,
		Value:    value,
		Revision: s.rev,
		Lease:    id,
	}
	return s.rev, s.fail(true)
}

// Watch implements keyvalue.Store.
func (s *store) Watch(context.Context, string, uint64) (keyvalue.Item, error) {
	return keyvalue.Item{}, keyvalue.ErrNoChange
}

// Grant implements keyvalue.Store.
func (s *store) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	if err := s.fail(false); err != nil {
		return 0, err
	}
	s.next++
	s.until[s.next] = s.clock.Now().Add(ttl)
	return s.next, s.fail(true)
}

// KeepAlive implements keyvalue.Store.
func (s *store) KeepAlive(_ context.Context, id uint64) error {
	if err := s.fail(false); err != nil {
		return err
	}
	if _, ok := s.until[id]; !ok {
		return keyvalue.ErrLeaseGone
	}
	s.until[id] = s.clock.Now().Add(lease.TTL)
	return s.fail(true)
}

// Revoke implements keyvalue.Store.
func (s *store) Revoke(_ context.Context, id uint64) error {
	if err := s.fail(false); err != nil {
		return err
	}
	s.until[id] = s.clock.Now()
	s.expire()
	return s.fail(true)
}

const candidates = 3

// history drives candidates through outages, lost answers and pauses. held
// says which holder believes that it holds the lease, and under which number.
func history(held func(h *lease.Holder, now timer.Instant) (uint64, bool)) func(*rapid.T) {
	return func(t *rapid.T) {
		clock := &timer.Manual{}
		clock.Advance(time.Second)
		s := &store{
			clock: clock,
			until: make(map[uint64]timer.Instant),
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
				s.fate = rapid.SampledFrom([]string{"", "", "down", "lost"}).Draw(t, "fate")
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
						t.Fatalf("a holder orders under %d after %d was used", number, highest)
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

// A holder is paused past its lease while another one takes it; the service is
// down or loses answers. An operator would notice two holders that order the
// same engines to different versions.
func TestOneHolderWithRisingNumbers(t *testing.T) {
	proof.Check(t, history(func(h *lease.Holder, now timer.Instant) (uint64, bool) { return h.Held(now) }))
}

// A holder that doesn't look at the clock believes in its lease after a pause.
func TestPausedHolderBelievesWithoutTheClock(t *testing.T) {
	proof.Refute(t, history(func(h *lease.Holder, _ timer.Instant) (uint64, bool) { return h.Held(0) }))
}

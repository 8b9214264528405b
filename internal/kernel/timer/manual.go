package timer

import (
	"sync"
	"time"
)

// Manual is a Service whose clock moves only by Advance, for tests. The zero value
// starts at instant zero.
type Manual struct {
	mu   sync.Mutex
	now  Instant
	subs map[*manualSubscription]struct{}
}

type manualSubscription struct {
	c      chan Instant
	next   Instant
	period time.Duration // zero for a subscription that fires once
}

// Now implements Service.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every implements Service.
func (m *Manual) Every(period time.Duration) *Subscription { return m.subscribe(period, period) }

// Once implements Service.
func (m *Manual) Once(d time.Duration) *Subscription { return m.subscribe(d, 0) }

func (m *Manual) subscribe(first, period time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.subs == nil {
		m.subs = make(map[*manualSubscription]struct{})
	}
	s := &manualSubscription{
		c:      make(chan Instant, 1),
		next:   m.now.Add(first),
		period: period,
	}
	m.subs[s] = struct{}{}
	return &Subscription{
		C: s.c,
		close: func() {
			m.mu.Lock()
			delete(m.subs, s)
			m.mu.Unlock()
		},
	}
}

// Advance moves the clock by d and fires each subscription that became due, once
// even if several of its periods passed.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for s := range m.subs {
		if s.next > m.now {
			continue
		}
		trySend(s.c, m.now)
		if s.period == 0 {
			delete(m.subs, s)
			continue
		}
		for s.next <= m.now {
			s.next = s.next.Add(s.period)
		}
	}
}

// Run advances the clock by step in every interval of real time, in a goroutine of
// its own, until stop is called.
func (m *Manual) Run(step, interval time.Duration) (stop func()) {
	done := make(chan struct{})
	go func() {
		for Wait(Real{}, interval, done) {
			m.Advance(step)
		}
	}()
	return func() { close(done) }
}

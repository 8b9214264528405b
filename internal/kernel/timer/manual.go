package timer

import (
	"sync"
	"time"
)

// Manual is a Service whose clock moves only by Advance. Its zero value
// stands at instant zero.
type Manual struct {
	mu   sync.Mutex
	now  Instant
	subs map[*manualSub]struct{}
}

type manualSub struct {
	c      chan Instant
	next   Instant
	period time.Duration
}

// Now implements Service.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every implements Service.
func (m *Manual) Every(period time.Duration) *Subscription { return m.add(period, period) }

// Once implements Service.
func (m *Manual) Once(d time.Duration) *Subscription { return m.add(d, 0) }

func (m *Manual) add(first, period time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.subs == nil {
		m.subs = make(map[*manualSub]struct{})
	}
	s := &manualSub{
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

// Advance moves the clock by d and fires every subscription that came due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for s := range m.subs {
		if s.next > m.now {
			continue
		}
		offer(s.c, m.now)
		if s.period == 0 {
			delete(m.subs, s)
			continue
		}
		for s.next <= m.now {
			s.next = s.next.Add(s.period)
		}
	}
}

// Run moves the clock by step once in every period of real time, until stop is
// called.
func (m *Manual) Run(step, every time.Duration) (stop func()) {
	done := make(chan struct{})
	go func() {
		for Wait(Real{}, every, done) {
			m.Advance(step)
		}
	}()
	return func() { close(done) }
}

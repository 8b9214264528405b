package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// The model of the storm: instances without a gate (as before this package) or with one send
// requests to upstreams that serve a few at once, queue a few and refuse the rest.
const (
	modelHop        = 500 * time.Microsecond
	modelTimeout    = 400 * time.Millisecond
	modelHedgeDelay = 67500 * time.Microsecond // 0.45 of an objective of 150 ms
	modelMaxSends   = 6
	modelRetryPause = 100 * time.Millisecond
	modelMinLeft    = 20 * time.Millisecond
)

// interactive sends one interactive request.
func (in *modelInstance) interactive(work time.Duration) {
	m := in.m
	started := m.now
	r := &modelRequest{
		in:       in,
		work:     work,
		deadline: m.now.Add(modelTimeout),
		finish: func(ok bool) {
			if ok && m.now.Sub(started) <= modelTimeout {
				m.latencies = append(m.latencies, m.now.Sub(started))
				return
			}
			m.failed++
		},
	}
	in.acquire(Request{Deadline: r.deadline}, func() {
		r.send()
		r.hedge()
	}, r.fail)
}

// scoreText makes a reward call until it is answered.
func (in *modelInstance) scoreText(work time.Duration, due timer.Instant) {
	m := in.m
	in.acquire(Request{Class: Reward, Due: due}, func() {
		r := &modelRequest{
			in:       in,
			class:    Reward,
			work:     work,
			deadline: m.now.Add(modelTimeout),
			finish: func(ok bool) {
				switch {
				case ok:
					m.scored++
					m.lastScored = m.now
				case m.gated:
					in.scoreText(work, due)
				default:
					m.after(modelRetryPause, func() { in.scoreText(work, due) })
				}
			},
		}
		r.send()
		r.hedge()
	}, nil)
}

// storm is the load of the storm: 4 homes each get 100 finished texts in the same 100 ms, while
// 54 other instances each send an interactive request of 21 ms every half second.
func storm(seed uint64, queueCap int, gated, reports bool) *model {
	m := newModel(seed, 5, queueCap, gated, reports)
	for range 54 {
		in := m.instance()
		offset := time.Duration(m.random.Int64N(int64(500 * time.Millisecond)))
		for k := range 20 {
			m.after(offset+time.Duration(k)*500*time.Millisecond, func() { in.interactive(21 * time.Millisecond) })
		}
	}
	for range 4 {
		in := m.instance()
		for burst := range 3 {
			for range 100 {
				at := time.Second + time.Duration(burst)*3*time.Second + time.Duration(m.random.Int64N(int64(100*time.Millisecond)))
				m.after(at, func() { in.scoreText(30*time.Millisecond, timer.Instant(at+3*time.Second)) })
			}
		}
	}
	m.runUntil(timer.Instant(20 * time.Second))
	return m
}

// summary are the figures of a run of the model.
type summary struct {
	sendsPerServed, refusedShare, failedShare float64
	p50, p99                                  time.Duration
}

func (m *model) summary() summary {
	slices.Sort(m.latencies)
	n := len(m.latencies)
	return summary{
		sendsPerServed: float64(m.sends) / float64(n+m.scored),
		refusedShare:   float64(m.refusedSends) / float64(m.sends),
		failedShare:    float64(m.failed) / float64(m.failed+n),
		p50:            m.latencies[n/2],
		p99:            m.latencies[n*99/100],
	}
}

func (m *model) String() string {
	s := m.summary()
	return fmt.Sprintf("%.2f sends per served request, %.3f refused, interactive %.3f not answered, p50 %s, p99 %s, %d gate refusals, %d scored until %s, at most %d reward calls",
		s.sendsPerServed, s.refusedShare, s.failedShare, s.p50, s.p99, m.gateRefusals, m.scored, time.Duration(m.lastScored), m.peakReward)
}

// Guards against a burst of reward calls that keeps the upstreams refusing: sends that are
// repeated at once multiply, and interactive requests fail or are late. The old way of sending
// must fail the same limits, or the model shows nothing. All times are those of the model.
func TestStorm(t *testing.T) {
	for _, queueCap := range []int{2, 3, 5} {
		for _, reports := range []bool{false, true} {
			for seed := range uint64(4) {
				is := is.New(t)
				m := storm(seed, queueCap, true, reports)
				t.Logf("queue of %d, reports %t, seed %d: %s", queueCap, reports, seed, m)
				s := m.summary()
				is.True(s.sendsPerServed < 1.3)
				is.True(s.refusedShare < 0.1)
				is.True(s.failedShare < 0.02)
				is.True(s.p99 < 150*time.Millisecond)
				is.Equal(m.scored, 1200)
				// Three bursts begin at 1, 4 and 7 s. The upstreams need 1.6 s for one.
				is.True(m.lastScored < timer.Instant(9600*time.Millisecond))
				// Over-admission: four homes, each with at most the slots of the service.
				is.True(m.peakReward <= 4*10)
			}
		}
		is := is.New(t)
		old := storm(0, queueCap, false, false)
		t.Logf("queue of %d, without gates: %s", queueCap, old)
		is.True(old.summary().sendsPerServed > 1.3)
		is.True(old.summary().refusedShare > 0.1)
		is.True(old.summary().failedShare > 0.02)
	}
}

// Guards against instances that send rarely and are refused or held back for what they saw
// seconds ago: nothing waits at the gate of an instance without requests in flight, whatever the
// upstreams do, and a refused request is sent again after a pause.
func TestRareRequestsAreSentAtOnce(t *testing.T) {
	is := is.New(t)
	rare := func(gated bool) *model {
		m := newModel(1, 5, 3, gated, true)
		for range 200 {
			in := m.instance()
			offset := time.Duration(m.random.Int64N(int64(15 * time.Second)))
			for k := range 4 {
				m.after(offset+time.Duration(k)*15*time.Second, func() { in.interactive(21 * time.Millisecond) })
			}
		}
		for range 4 {
			in := m.instance()
			for k := range 3000 {
				burst := time.Duration(k/100) * 2 * time.Second
				m.after(burst+time.Duration(k%100)*time.Millisecond, func() { in.scoreText(30*time.Millisecond, 0) })
			}
		}
		m.runUntil(timer.Instant(90 * time.Second))
		t.Log(m)
		return m
	}
	m := rare(true)
	is.Equal(m.gateRefusals, 0)
	is.True(m.summary().failedShare < 0.02)
	is.True(m.summary().refusedShare < 0.1)
	is.Equal(m.scored, 12000)
	is.True(rare(false).summary().failedShare > 0.1)
}

package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// model runs events in the order of their time.
type model struct {
	now       timer.Instant
	events    eventHeap
	sequence  int
	random    *rand.Rand
	upstreams []*modelUpstream
	gated     bool
	reports   bool

	sends, refusedSends, gateRefusals int
	// latencies holds the times of answered interactive requests; failed counts the others.
	latencies []time.Duration
	failed    int
	scored    int
	// lastScored is when the last reward call was answered.
	lastScored timer.Instant
	// peakReward is the maximum number of reward calls at the upstreams.
	reward, peakReward int
}

type event struct {
	at       timer.Instant
	sequence int
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newModel(seed uint64, upstreams, queueCap int, gated, reports bool) *model {
	m := &model{
		random:  rand.New(rand.NewPCG(seed, 7)),
		gated:   gated,
		reports: reports,
	}
	for range upstreams {
		m.upstreams = append(m.upstreams, &modelUpstream{
			m:        m,
			slots:    2,
			queueCap: queueCap,
		})
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.sequence++
	heap.Push(&m.events, event{
		at:       m.now.Add(d),
		sequence: m.sequence,
		do:       do,
	})
}

func (m *model) runUntil(end timer.Instant) {
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	m.now = end
}

// modelUpstream serves slots requests at once, queues queueCap and refuses the rest.
type modelUpstream struct {
	m        *model
	slots    int
	queueCap int
	running  int
	queue    []func()
}

// arrive runs work and calls done, or refused.
func (u *modelUpstream) arrive(work time.Duration, done func(waiting int), refused func()) {
	begin := func() {
		u.running++
		u.m.after(work, func() {
			u.running--
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				next()
			}
			waiting := len(u.queue)
			u.m.after(modelHop, func() { done(waiting) })
		})
	}
	switch {
	case u.running < u.slots:
		begin()
	case len(u.queue) < u.queueCap:
		u.queue = append(u.queue, begin)
	default:
		u.m.after(modelHop, refused)
	}
}

// modelInstance is one instance of the fleet.
type modelInstance struct {
	m        *model
	gate     Gate
	budget   float64
	own      map[*modelUpstream]int
	waking   bool
	starters map[*Waiter]func()
}

func (m *model) instance() *modelInstance {
	in := &modelInstance{
		m:        m,
		budget:   10,
		own:      make(map[*modelUpstream]int),
		starters: make(map[*Waiter]func()),
	}
	in.gate.Random = m.random.Float64
	slots := 0
	for _, u := range m.upstreams {
		slots += u.slots
	}
	in.gate.SetCapacity(float64(slots))
	return in
}

// pump starts the waiters that may start.
func (in *modelInstance) pump() {
	for w := in.gate.Next(in.m.now); w != nil; w = in.gate.Next(in.m.now) {
		start := in.starters[w]
		delete(in.starters, w)
		start()
	}
	at, needed := in.gate.WakeAt(in.m.now)
	if needed && !in.waking {
		in.waking = true
		in.m.after(at.Sub(in.m.now), func() {
			in.waking = false
			in.pump()
		})
	}
}

// acquire calls start once the gate admits the request, or refused.
func (in *modelInstance) acquire(r Request, start, refused func()) {
	if !in.m.gated {
		start()
		return
	}
	now := in.m.now
	if in.gate.Admit(r.Class, now) {
		start()
		return
	}
	w := &Waiter{Request: r}
	if in.gate.Enqueue(w, now); w.Refusal.Reason != "" {
		in.m.gateRefusals++
		refused()
		return
	}
	in.starters[w] = start
	if r.Deadline != 0 {
		in.m.after(w.Expires.Sub(now), func() {
			if in.starters[w] != nil {
				delete(in.starters, w)
				in.gate.Expire(w, in.m.now)
				in.m.gateRefusals++
				refused()
				in.pump()
			}
		})
	}
	in.pump()
}

// modelRequest is a request and its sends.
type modelRequest struct {
	in       *modelInstance
	class    Class
	work     time.Duration
	deadline timer.Instant
	tried    []*modelUpstream
	inFlight int
	sent     int
	refused  int
	over     bool
	finish   func(answered bool)
}

// choose returns the less loaded of two random upstreams that were not tried.
func (r *modelRequest) choose() *modelUpstream {
	var list []*modelUpstream
	for _, u := range r.in.m.upstreams {
		if !slices.Contains(r.tried, u) {
			list = append(list, u)
		}
	}
	if len(list) == 0 {
		r.tried = nil
		list = r.in.m.upstreams
	}
	a, b := list[r.in.m.random.IntN(len(list))], list[r.in.m.random.IntN(len(list))]
	if r.in.own[b] < r.in.own[a] {
		return b
	}
	return a
}

// send sends the request once; the gate has admitted it.
func (r *modelRequest) send() {
	m, u := r.in.m, r.choose()
	r.tried = append(r.tried, u)
	r.sent++
	r.inFlight++
	r.in.own[u]++
	m.sends++
	if r.class == Reward {
		m.reward++
		m.peakReward = max(m.peakReward, m.reward)
	}
	started := m.now
	end := func(result Result, report Report) {
		r.inFlight--
		r.in.own[u]--
		if r.class == Reward {
			m.reward--
		}
		if m.gated {
			took := m.now.Sub(started)
			r.in.gate.Finish(r.class, result, Timing{took, took}, report, m.now)
			r.in.pump()
		}
	}
	m.after(modelHop, func() {
		u.arrive(r.work, func(waiting int) {
			end(Answered, Report{Known: m.reports, Waiting: waiting, Slots: u.slots})
			r.in.budget = min(10, r.in.budget+RetryShare)
			r.answered()
		}, func() {
			m.refusedSends++
			end(Refused, Report{})
			r.wasRefused()
		})
	})
}

func (r *modelRequest) answered() {
	if !r.over {
		r.over = true
		r.finish(true)
	}
}

func (r *modelRequest) fail() {
	if !r.over {
		r.over = true
		r.finish(false)
	}
}

// wasRefused continues after a refused send as the forwarder does.
func (r *modelRequest) wasRefused() {
	m := r.in.m
	if r.over || r.inFlight > 0 {
		return
	}
	left := r.deadline.Sub(m.now) - modelMinLeft
	if !m.gated {
		if r.sent >= modelMaxSends || left <= 0 {
			r.fail()
			return
		}
		r.send()
		return
	}
	r.refused++
	pause := Pause(r.refused, m.random.Float64())
	if r.class != Interactive || r.refused >= MaxRefusedSends || pause >= left || r.in.budget < 1 {
		r.fail()
		return
	}
	r.in.budget--
	m.after(pause, func() {
		r.in.acquire(Request{Deadline: r.deadline}, r.send, r.fail)
	})
}

// hedge starts a second send after a delay.
func (r *modelRequest) hedge() {
	r.in.m.after(modelHedgeDelay, func() {
		if r.over || r.inFlight != 1 || r.in.m.gated && !r.in.gate.AdmitHedge(r.class, r.in.m.now) {
			return
		}
		r.send()
	})
}

package admission

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/retry"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

const (
	// boundInterval is how often the load reports of a service are added up.
	boundInterval = 100 * time.Millisecond
	// maxReportAge is the age up to which a load report bounds the windows.
	maxReportAge = time.Second
	// unlistedSlots is assumed for an upstream whose slots are not listed, so that a service
	// that serves many at once is not held to a few.
	unlistedSlots = 8
)

// RefusalError is returned for a request that the gate refused. The request was not sent.
type RefusalError struct{ Refusal }

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("admission: %s, %d waiting, window %.1f, expected wait %s", e.Reason, e.Waiting, e.Refusal.Window, e.ExpectedWait)
}

// ErrWithdrawn is returned for a waiting request that its Revalidator withdrew. The request was
// not sent.
var ErrWithdrawn = errors.New("admission: the request was withdrawn")

// Gates holds the Service of each service. Timer must be set; Metrics may be nil.
type Gates struct {
	Timer   timer.Service
	Metrics *Metrics

	mu       sync.RWMutex
	services map[string]*Service
	// setOf is the function that Refresh was last called with; nil before.
	setOf atomic.Pointer[func(service string) *upstream.Set]
}

// Service returns the gate of a service with the given upstreams. If the service has none any more
// according to Refresh, the caller's are out of date, and the gate stays as it is.
func (g *Gates) Service(name string, set *upstream.Set) *Service {
	g.mu.RLock()
	s := g.services[name]
	g.mu.RUnlock()
	if s == nil {
		s = g.create(name)
	}
	if s.set.Load() != set {
		s.update(set, func() bool { return !g.isEmpty(name) })
	}
	return s
}

// isEmpty reports whether a service has no upstream according to Refresh.
func (g *Gates) isEmpty(name string) bool {
	setOf := g.setOf.Load()
	return setOf != nil && len((*setOf)(name).Upstreams) == 0
}

func (g *Gates) create(name string) *Service {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[name]; s != nil {
		return s
	}
	if g.services == nil {
		g.services = make(map[string]*Service)
	}
	s := &Service{
		timer:   g.Timer,
		metrics: g.Metrics.forService(name),
		gate: Gate{
			Random: rand.Float64,
		},
	}
	g.services[name] = s
	return s
}

// all calls visit with each service.
func (g *Gates) all(visit func(name string, s *Service)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for name, s := range g.services {
		visit(name, s)
	}
}

// Load is how many requests of all classes wait at a gate, and how many are in flight.
type Load struct {
	Name     string
	Waiting  int
	InFlight int
}

// Loads returns the load of each gate, by name.
func (g *Gates) Loads() []Load {
	var list []Load
	g.all(func(name string, s *Service) {
		l := Load{
			Name: name,
		}
		for _, class := range []Class{Interactive, Reward, Background} {
			l.Waiting += s.Waiting(class)
			l.InFlight += s.InFlight(class)
		}
		list = append(list, l)
	})
	slices.SortFunc(list, func(a, b Load) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Refresh updates the slots of all services at once after a change of the upstreams, where
// Service would do so with the next request. setOf returns the upstreams of a service. The
// waiting requests of a service without any are refused. Service calls setOf as well later.
func (g *Gates) Refresh(setOf func(service string) *upstream.Set) {
	g.setOf.Store(&setOf)
	g.all(func(name string, s *Service) {
		if set := setOf(name); len(set.Upstreams) == 0 {
			s.close()
		} else if s.set.Load() != set {
			s.update(set, nil)
		}
	})
}

// Service is the gate of one service. Its methods may be called concurrently.
type Service struct {
	timer   timer.Service
	metrics serviceMetrics
	set     atomic.Pointer[upstream.Set]
	// retries is the budget for sends that follow a refusal.
	retries retry.Budget

	mu      sync.Mutex
	gate    Gate
	boundAt timer.Instant
	// countedAt is when the slots were counted, and cold says that some upstreams were cold then.
	countedAt timer.Instant
	cold      bool
	// wakeScheduled says that a goroutine waits for the end of a pause.
	wakeScheduled bool
	// closed says that the service has no upstream, so that nothing waits.
	closed bool
}

// update updates the slots after the list of upstreams has changed, if valid is nil or reports true.
// valid is called under the lock, so that close is not undone by a caller that was valid before it.
func (s *Service) update(set *upstream.Set, valid func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if valid != nil && !valid() {
		if s.set.Load() == nil {
			s.closed = true
			s.set.Store(&upstream.Set{})
		}
		return
	}
	s.set.Store(set)
	s.closed = false
	now := s.timer.Now()
	s.countSlots(set, now)
	s.startWaiting(now)
}

// countSlots updates the slots. A cold upstream counts with what this instance may send to it. The
// caller holds s.mu.
func (s *Service) countSlots(set *upstream.Set, now timer.Instant) {
	slots := 0
	s.countedAt, s.cold = now, false
	for _, u := range set.Upstreams {
		switch {
		case u.Cold(now):
			slots += u.PermitSlots(now)
			s.cold = true
		case u.Slots > 0:
			slots += u.Slots
		default:
			slots += unlistedSlots
		}
	}
	s.gate.SetCapacity(float64(slots))
}

// close refuses the waiting requests, and those that would have to wait until update.
func (s *Service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.set.Store(&upstream.Set{})
	now := s.timer.Now()
	for w := s.gate.Drop(ReasonNoUpstream, now); w != nil; w = s.gate.Drop(ReasonNoUpstream, now) {
		close(w.decided)
	}
}

// Acquire waits until the request may be sent, and counts it as in flight until Release. It
// returns a *RefusalError if the request can't be served in time, ErrWithdrawn, or the error of
// ctx.
func (s *Service) Acquire(ctx context.Context, r Request) error {
	now := s.timer.Now()
	s.mu.Lock()
	s.updateBound(r.Class, now)
	s.startWaiting(now)
	if s.gate.Admit(r.Class, now) {
		s.mu.Unlock()
		return nil
	}
	w := &Waiter{
		Request: r,
		decided: make(chan struct{}),
	}
	if s.closed {
		w.Refusal = s.gate.refuse(&r, ReasonNoUpstream, 0, now)
		s.mu.Unlock()
		return s.refusal(w)
	}
	if evicted := s.gate.Enqueue(w, now); evicted != nil {
		close(evicted.decided)
	}
	if w.Refusal.Reason != "" {
		s.mu.Unlock()
		return s.refusal(w)
	}
	s.startWaiting(now)
	s.mu.Unlock()
	return s.wait(ctx, w)
}

// refusal counts the refusal of w and returns it.
func (s *Service) refusal(w *Waiter) error {
	s.metrics.refused(w.Request.Class, w.Refusal.Reason)
	return &RefusalError{w.Refusal}
}

// wait waits until a queued request may be sent.
func (s *Service) wait(ctx context.Context, w *Waiter) error {
	var expired <-chan timer.Instant
	if w.Request.Deadline != 0 {
		sub := s.timer.Once(w.Expires.Sub(w.Since))
		defer sub.Close()
		expired = sub.C
	}
	withdrawn := false
	for waiting := true; waiting; {
		waiting = false
		select {
		case <-w.decided:
		case <-expired:
		case <-ctx.Done():
		case <-w.Request.changed():
			waiting = w.Request.Revalidator.Revalidate()
			withdrawn = !waiting
		}
	}
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.startWaiting(now)
	select {
	case <-w.decided:
		switch {
		case w.Refusal.Reason != "":
			return s.refusal(w)
		case ctx.Err() != nil:
			s.gate.Finish(w.Request.Class, Ended, Timing{}, Report{}, now)
			return ctx.Err()
		}
		s.metrics.waited(w.Request.Class, now.Sub(w.Since))
		return nil
	default:
	}
	if err := ctx.Err(); err != nil {
		s.gate.Withdraw(w)
		return err
	}
	if withdrawn {
		s.gate.Withdraw(w)
		return ErrWithdrawn
	}
	s.gate.Expire(w, now)
	return s.refusal(w)
}

// AcquireHedge admits an additional send only while there is room.
func (s *Service) AcquireHedge(class Class) bool {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.AdmitHedge(class, now)
}

// Enter counts a send that replaces one that was not refused.
func (s *Service) Enter(class Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Enter(class)
}

// WithdrawRetry takes a send after a refusal from the budget of the service and reports
// whether one was left.
func (s *Service) WithdrawRetry() bool { return s.retries.Withdraw() }

// Release ends a send that was in flight. load is the report in the answer, if any.
func (s *Service) Release(class Class, result Result, timing Timing, load *engine.LoadReport) {
	if result == Answered {
		s.retries.Deposit(RetryShare)
	}
	var report Report
	if load != nil {
		report = Report{
			Known:   true,
			Waiting: load.Waiting,
			Slots:   load.Slots,
		}
	}
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateBound(class, now)
	s.gate.Finish(class, result, timing, report, now)
	s.startWaiting(now)
}

// Waiting returns the number of waiting requests of a class.
func (s *Service) Waiting(class Class) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Waiting(class)
}

// InFlight returns the number of sends of a class in flight.
func (s *Service) InFlight(class Class) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.InFlight(class)
}

// startWaiting starts the requests that may be sent now. The caller holds s.mu.
func (s *Service) startWaiting(now timer.Instant) {
	for {
		w := s.gate.Next(now)
		if w == nil {
			break
		}
		close(w.decided)
	}
	at, needed := s.gate.WakeAt(now)
	if !needed || s.wakeScheduled {
		return
	}
	s.wakeScheduled = true
	go func() {
		timer.Wait(s.timer, at.Sub(now), nil)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wakeScheduled = false
		s.startWaiting(s.timer.Now())
	}()
}

// updateBound adds up recent load reports, if the gate may need them, and the slots while some
// upstreams are cold. The caller holds s.mu.
func (s *Service) updateBound(class Class, now timer.Instant) {
	if s.cold && now.Sub(s.countedAt) >= boundInterval {
		s.countSlots(s.set.Load(), now)
	}
	if class == Interactive && !s.gate.refusedLately(now) || s.boundAt != 0 && now.Sub(s.boundAt) < boundInterval {
		return
	}
	s.boundAt = now
	s.gate.SetBound(s.set.Load().SlotsLeft(now, maxReportAge))
}

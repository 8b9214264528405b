package slowstart

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// Limiter decides which requests of this instance may be sent to cold upstreams. A nil *Limiter
// limits nothing.
type Limiter struct {
	Config  *catalog.Holder
	Timer   timer.Service
	Journal *journal.Journal
	Metrics *Metrics
	// Overage and Slack are those of all Terms.
	Overage, Slack float64

	mu sync.Mutex
	// waiting is the number of requests by service that wait for a permit.
	waiting map[string]int
}

// Terms returns the terms of a service, and false if it has no slow start.
func (l *Limiter) Terms(service string) (Terms, bool) {
	cfg := l.Config.Current()
	if cfg == nil {
		return Terms{}, false
	}
	s, ok := cfg.Services[service]
	if !ok || !s.SlowStart() {
		return Terms{}, false
	}
	return Terms{
		Rate:     s.ColdRate,
		Overage:  l.Overage,
		Slack:    l.Slack,
		Duration: max(0, s.ColdStart),
	}, true
}

// Applies reports whether the service of the upstream has a slow start.
func (l *Limiter) Applies(u *catalog.Upstream) bool {
	if l == nil {
		return false
	}
	_, ok := l.Terms(u.Listed().Service)
	return ok
}

// Take returns the permit for one request to u. It returns false if u is cold and this instance
// has no permit for it now.
func (l *Limiter) Take(u *catalog.Upstream, requestID string, now timer.Instant) (Permit, bool) {
	if !l.Applies(u) {
		return Permit{}, true
	}
	p := Permit{
		limiter:   l,
		u:         u,
		requestID: requestID,
	}
	if !u.Cold(now) {
		return p, true
	}
	return p, p.take(now)
}

// Permit allows one request to be written to its upstream. The zero value allows any.
type Permit struct {
	limiter   *Limiter
	u         *catalog.Upstream
	requestID string
	// takenAt is when the permit of a cold upstream was taken; 0 if there is none, or none that
	// is unused.
	takenAt timer.Instant
}

// take takes a permit of the cold upstream.
func (p *Permit) take(now timer.Instant) bool {
	terms, ok := p.limiter.Terms(p.u.Listed().Service)
	if !ok {
		return true
	}
	shares, interval := terms.Shares()
	if shares == 0 || !p.u.TakePermit(shares, interval, now) {
		return false
	}
	p.takenAt = now
	p.limiter.Metrics.permitTaken()
	return true
}

// Guard returns a context for the request, with which it is withdrawn if Check fails.
func (p Permit) Guard(ctx context.Context) context.Context {
	if p.limiter == nil {
		return ctx
	}
	guarded := p // allocated only here
	if p.takenAt != 0 {
		ctx = wire.WithFreshConnection(ctx)
	}
	return wire.WithBeforeWrite(ctx, guarded.Check)
}

// Check is called immediately before the first byte of the request is written. It returns
// engine.ErrWithdrawn if the upstream is leaving, or cold and there is no valid permit for it: the
// upstream may have become cold since it was chosen, or the permit is too old, because the
// connection took long or this instance was paused. An old permit is replaced if another one is available.
func (p *Permit) Check() error {
	if p.limiter == nil {
		return nil
	}
	now := p.limiter.Timer.Now()
	if p.u.Leaving() {
		// It may have been replaced by its next incarnation, which has the same address.
		return p.withhold("gone", p.takenAt, now)
	}
	if !p.u.Cold(now) {
		return nil
	}
	takenAt := p.takenAt
	p.takenAt = 0 // a request that is moved to another connection is checked again
	if takenAt != 0 && now.Sub(takenAt) <= permitValidity && !p.u.ShareSuspended() {
		return nil
	}
	if p.take(now) {
		p.takenAt = 0
		return nil
	}
	reason := "cold_again"
	if takenAt != 0 {
		reason = "permit_too_old"
	}
	return p.withhold(reason, takenAt, now)
}

// withhold logs a request that is not sent and returns its error.
func (p *Permit) withhold(reason string, takenAt, now timer.Instant) error {
	fields := log.Fields{
		"request_id": p.requestID,
		"upstream":   p.u.ID,
		"reason":     reason,
	}
	if takenAt != 0 {
		fields["permit_age_ms"] = now.Sub(takenAt).Milliseconds()
	}
	p.limiter.Journal.Decision("withhold", fields)
	p.limiter.Metrics.requestWithheld(reason)
	return fmt.Errorf("%w: upstream %s, %s", engine.ErrWithdrawn, p.u.ID, reason)
}

// RecordResponse records a response of an upstream whose service has a slow start. value is what
// the response says about its coldness in milliseconds, or "". The request was sent at sentAt.
func (l *Limiter) RecordResponse(u *catalog.Upstream, value string, sentAt timer.Instant) {
	terms, ok := l.Terms(u.Listed().Service)
	if !ok {
		return
	}
	now := l.Timer.Now()
	if value == "" {
		u.Answered(terms.Duration, sentAt, now)
		return
	}
	left, ok := parseMilliseconds(value)
	if !ok || catalog.Implausible(left, terms.Duration) {
		l.LogBadColdness(u.ID, terms.Duration)
		left = terms.Duration
	}
	u.RecordColdness(left, sentAt, now)
}

// LogBadColdness logs that the coldness of an upstream is not stated in a usable form.
func (l *Limiter) LogBadColdness(id string, assumed time.Duration) {
	l.Metrics.badReading()
	l.Journal.Decision("assume_cold", log.Fields{
		"upstream": id,
		"reason":   "unusable_reading",
		"cold_ms":  assumed.Milliseconds(),
	})
}

// parseMilliseconds parses a number of milliseconds that is below an hour.
func parseMilliseconds(value string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0 && ms <= float64(time.Hour/time.Millisecond)) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// RecordLoss records that the connection to an upstream was lost or refused.
func (l *Limiter) RecordLoss(u *catalog.Upstream) {
	if l.Applies(u) {
		u.ConnectionLost(l.Timer.Now())
	}
}

// maxClaimWait is how long requests wait for a share that is being claimed. A claim takes a few
// round trips to the store.
const maxClaimWait = 300 * time.Millisecond

// Opening says when a service whose upstreams are all held takes a request.
type Opening struct {
	// At is the earliest time at which this instance may send to one of them; 0 if unknown.
	At timer.Instant
	// Pending says that a share may be granted, or that a probe may answer, soon.
	Pending bool
	// Spacing is the time between two requests that this instance may send, 0 if they all
	// may be sent at once.
	Spacing time.Duration
	// Ahead is the number of requests that wait already.
	Ahead int
}

// Wait returns the expected time until the service takes the request.
func (o Opening) Wait(now timer.Instant) time.Duration {
	return max(0, o.At.Sub(now)) + time.Duration(o.Ahead)*o.Spacing
}

// BeginWait counts a request that waits for a permit, and returns how many waited before it.
func (l *Limiter) BeginWait(service string) (ahead int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == nil {
		l.waiting = make(map[string]int)
	}
	l.waiting[service]++
	return l.waiting[service] - 1
}

// EndWait ends the wait of a request that BeginWait counted.
func (l *Limiter) EndWait(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[service]--
}

// NextOpening returns when a request may be sent to an upstream of the group. It reports false if
// none of them is held.
func (l *Limiter) NextOpening(service string, group *catalog.Group, now timer.Instant) (Opening, bool) {
	if l == nil {
		return Opening{}, false
	}
	terms, ok := l.Terms(service)
	if !ok {
		return Opening{}, false
	}
	var o Opening
	held, holders := false, 0
	for _, u := range group.Upstreams {
		if u.Leaving() || !u.Held(now) {
			continue
		}
		held = true
		if !u.MayHaveRestarted() && (o.At == 0 || u.HeldUntil() < o.At) {
			o.At = u.HeldUntil()
		}
		o.Pending = o.Pending || u.LostWithin(2*initialProbeDelay, now) ||
			u.ShareWanted() && now.Sub(u.ShareWantedSince()) < maxClaimWait
		if u.HasShare() {
			holders++
		}
	}
	if shares, interval := terms.Shares(); shares > 0 && holders > 0 {
		o.Spacing = interval / time.Duration(holders)
	}
	return o, held
}

package crashnotice

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Timing of writes and of expiry.
const (
	// coalesceDelay is how long to wait before a write. Most requests whose upstream
	// crashed are answered by another upstream in this time, and their crashes need not
	// be published.
	coalesceDelay = 150 * time.Millisecond
	// expireInterval is the time between two removals of expired notices.
	expireInterval = 10 * time.Second
	// answeredTTL is how long the notice of an answered request is published.
	answeredTTL = time.Minute
	// callTimeout bounds a call of the Publisher, retryPause is the pause after a failed
	// one.
	callTimeout = 2 * time.Second
	retryPause  = 500 * time.Millisecond
)

// Rate of writes.
const (
	// writeBurst is the number of writes that an instance may make without a pause.
	writeBurst = 3
	// The mean pause between further writes is writePausePerInstance for each instance of
	// the fleet, and at least minWritePause: the writes of all instances together must
	// leave the service capacity for other calls.
	minWritePause         = 250 * time.Millisecond
	writePausePerInstance = 20 * time.Millisecond
)

// writeLimiter is a token bucket for writes.
type writeLimiter struct {
	// spent is the number of tokens in use at the instant at.
	spent float64
	at    timer.Instant
}

// reserve takes a token for the next write and returns how long the caller must wait
// before it. instances is the number of instances that share the service.
func (l *writeLimiter) reserve(now timer.Instant, instances int) time.Duration {
	pause := max(minWritePause, time.Duration(instances)*writePausePerInstance)
	l.spent = max(0, l.spent-float64(now.Sub(l.at))/float64(pause))
	l.at = now
	l.spent++
	return time.Duration(max(0, l.spent-writeBurst) * float64(pause))
}

// Run publishes the notices of this instance and removes expired ones until t dies.
func (b *Board) Run(t *tomb.Tomb) error {
	ticks := b.Timer.Every(expireInterval)
	defer ticks.Close()
	ctx := t.Context(context.Background())
	for {
		select {
		case <-b.wake.C():
			b.publishAfterDelay(ctx, t)
		case <-ticks.C:
			b.expire(ctx)
		case <-t.Dying():
			return nil
		}
	}
}

// publishAfterDelay publishes the notices after a delay, unless all are published by then.
func (b *Board) publishAfterDelay(ctx context.Context, t *tomb.Tomb) {
	timer.Wait(b.Timer, coalesceDelay, t.Dying())
	if !b.hasUnpublished() {
		return
	}
	timer.Wait(b.Timer, b.limiter.reserve(b.Timer.Now(), b.InstanceCount()), t.Dying())
	if !t.Alive() {
		return
	}
	if err := b.publishNow(ctx); err != nil && t.Alive() {
		b.Metrics.countWrite("failed")
		b.Journal.Warn("notices of crashes not told", err, log.Fields{})
		timer.Wait(b.Timer, retryPause, t.Dying())
		b.wake.Set()
		return
	}
	b.Metrics.countWrite("done")
}

// hasUnpublished reports whether own holds notices that are not published, or the
// published value holds notices that own no longer has.
func (b *Board) hasUnpublished() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keyOutdated || slices.ContainsFunc(b.own, func(n notice) bool { return !n.published })
}

// publishNow publishes all notices of this instance now.
func (b *Board) publishNow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b.mu.Lock()
	sent := slices.Clone(b.own)
	b.mu.Unlock()
	value, err := encode(sent, b.Timer.Now())
	if err != nil {
		return err
	}
	if err := b.Publisher.Publish(ctx, value); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keyOutdated = false
	for i := range b.own {
		b.own[i].published = b.own[i].published || slices.ContainsFunc(sent, b.own[i].same)
	}
	return nil
}

// same reports whether two notices report the same event.
func (n notice) same(o notice) bool {
	return n.Print == o.Print && n.Upstream == o.Upstream && n.at == o.at
}

// expire removes expired evidence, notices and trials, and renews the published notices
// while there are any.
func (b *Board) expire(ctx context.Context) {
	b.mu.Lock()
	now := b.Timer.Now()
	if b.evidence.Expire(now) {
		b.Journal.Decision("crashes_forgotten", log.Fields{
			"known": b.evidence.Len(),
		})
	}
	b.own = slices.DeleteFunc(b.own, func(n notice) bool {
		if n.Upstream == "" {
			return now.Sub(n.at) >= answeredTTL
		}
		expired := !b.evidence.Judge(n.Print, now).Suspected()
		if expired && n.published {
			// An instance that starts would take the published notice as a new crash.
			b.keyOutdated = true
			b.wake.Set()
		}
		return expired
	})
	for f, at := range b.trials {
		if now.Sub(at) >= trialInterval {
			delete(b.trials, f)
		}
	}
	b.updateHasEvidence()
	b.Metrics.setKnown(b.evidence.Len(), b.evidence.PoisonCount())
	idle := len(b.own) == 0
	b.mu.Unlock()
	if idle {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := b.Publisher.Renew(ctx); err != nil {
		b.Journal.Warn("cannot renew crash notices", err, log.Fields{})
	}
}

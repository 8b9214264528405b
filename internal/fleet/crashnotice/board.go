package crashnotice

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
)

// Secret provides the secret of the fleet, with which fingerprints are made.
type Secret interface {
	// Value returns the secret, or nil while it is not known.
	Value() []byte
}

// Publisher publishes the notices of this instance to all others.
type Publisher interface {
	// Publish replaces the published notices.
	Publish(ctx context.Context, value []byte) error
	// Renew keeps the notices of the last Publish from expiring.
	Renew(ctx context.Context) error
}

// Board holds the crashes that any instance observed, and publishes those that this
// instance observed.
type Board struct {
	Secret    Secret
	Publisher Publisher
	// Key is the key of the notices of this incarnation of the instance.
	Key string
	// InstanceCount returns the number of instances.
	InstanceCount func() int
	// RunsTrial reports whether this instance runs the trials of a quarantined request. Nil
	// means never.
	RunsTrial func(f fingerprint.Fingerprint) bool
	Timer     timer.Service
	Journal   *journal.Journal
	Metrics   *Metrics

	// hasEvidence is set while there is evidence. While it is false, judging a request
	// only reads this flag.
	hasEvidence atomic.Bool
	wake        wake.Signal

	mu       sync.Mutex
	evidence poison.Tracker
	// own holds the notices of this instance, in the order in which they were added.
	own []notice
	// keyOutdated is set when the published value holds notices that own no longer has.
	keyOutdated bool
	// trials holds the start of the last trial of each quarantined request at this
	// instance.
	trials map[fingerprint.Fingerprint]timer.Instant
	// limiter bounds the rate of writes.
	limiter writeLimiter
}

// Judge returns the verdict on a request. digest is called only if there is evidence.
func (b *Board) Judge(digest func() fingerprint.Digest) poison.Verdict {
	if !b.hasEvidence.Load() {
		return poison.Verdict{}
	}
	secret := b.Secret.Value()
	if secret == nil {
		return poison.Verdict{}
	}
	f := digest().Keyed(secret)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	v := b.evidence.Judge(f, now)
	if v.Trial && !b.allowTrial(f, now) {
		v.RetryAfter = trialRetryAfter
	}
	return v
}

const (
	// trialInterval is the time between the starts of two trials of a quarantined
	// request.
	trialInterval = 5 * time.Second
	// trialRetryAfter is when callers may retry a request that is due for a trial, if
	// another instance runs the trials or this one ran one within trialInterval.
	trialRetryAfter = 10 * time.Second
)

// allowTrial reports whether this instance may run a quarantined request once, to see
// whether upstreams still crash, and records the trial. b.mu must be held.
func (b *Board) allowTrial(f fingerprint.Fingerprint, now timer.Instant) bool {
	if at, ok := b.trials[f]; ok && now.Sub(at) < trialInterval || b.RunsTrial == nil || !b.RunsTrial(f) {
		return false
	}
	if b.trials == nil {
		b.trials = make(map[fingerprint.Fingerprint]timer.Instant)
	}
	b.trials[f] = now
	return true
}

// RecordCrash records that an upstream crashed while it ran a request, and returns the
// new verdict on the request.
func (b *Board) RecordCrash(c poison.Crash) poison.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	if b.evidence.Add(c) {
		b.addOwn(notice{
			Print:    c.Fingerprint,
			Upstream: c.Incarnation,
			Row:      c.Consecutive,
			at:       c.At,
		})
		b.updateHasEvidence()
	}
	b.Metrics.setKnown(b.evidence.Len(), b.evidence.PoisonCount())
	return b.evidence.Judge(c.Fingerprint, now)
}

// RecordAnswer records that a request was answered, which clears it. digest is called only
// if there is evidence.
func (b *Board) RecordAnswer(digest func() fingerprint.Digest) {
	if !b.hasEvidence.Load() {
		return
	}
	secret := b.Secret.Value()
	if secret == nil {
		return
	}
	f := digest().Keyed(secret)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	crashes := b.evidence.CrashCount(f)
	if crashes == 0 {
		return
	}
	b.evidence.Clear(f, now)
	delete(b.trials, f)
	unpublished := 0
	b.own = slices.DeleteFunc(b.own, func(n notice) bool {
		if n.Print == f && !n.published {
			unpublished++
		}
		return n.Print == f
	})
	if crashes > unpublished {
		b.addOwn(notice{
			Print: f,
			at:    now,
		})
	}
	b.updateHasEvidence()
}

// addOwn adds a notice of this instance, and drops the oldest one above maxNotices. b.mu
// must be held.
func (b *Board) addOwn(n notice) {
	b.own = append(b.own, n)
	if over := len(b.own) - maxNotices; over > 0 {
		b.own = slices.Delete(b.own, 0, over)
		b.Metrics.countDropped(over)
	}
	b.wake.Set()
}

// updateHasEvidence sets hasEvidence from the evidence. b.mu must be held.
func (b *Board) updateHasEvidence() { b.hasEvidence.Store(!b.evidence.Empty()) }

// Apply applies changes of the keys of all instances.
func (b *Board) Apply(changes []keyvalue.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	for _, c := range changes {
		if c.Key == b.Key {
			b.handleOwnKey(c)
			continue
		}
		if c.Removed {
			// The notices stay valid until they expire.
			continue
		}
		notices, err := decode(c.Value, now)
		if err != nil {
			b.Journal.Warn("cannot decode crash notices", err, log.Fields{
				"key": c.Key,
			})
			continue
		}
		for _, n := range notices {
			if n.Upstream == "" {
				b.evidence.Clear(n.Print, n.at)
				continue
			}
			b.evidence.Add(n.crash())
		}
	}
	b.updateHasEvidence()
}

// handleOwnKey publishes the notices again if this instance's key was removed. b.mu must
// be held.
func (b *Board) handleOwnKey(c keyvalue.Change) {
	if !c.Removed || len(b.own) == 0 {
		return
	}
	// The lease has expired, as it may while the service is unavailable.
	for i := range b.own {
		b.own[i].published = false
	}
	b.wake.Set()
}

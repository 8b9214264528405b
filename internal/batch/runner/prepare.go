package runner

import (
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// unstoredTimeout is how long a batch that is not stored keeps running after it
// was last requested. A trainer that got no answer repeats its request within a
// second.
const unstoredTimeout = 3 * time.Second

// errNotRequested ends a batch that was started without being stored and is not
// requested any longer.
var errNotRequested = errors.New("the batch is not stored and no longer requested")

// StartUnstored starts a batch that can't be stored now because the key-value service
// is unavailable. Nothing of the batch can be read before it is stored, and the
// caller must not be told that it has not run. The trainer waits until the
// service is back. Since the items are generated in the meantime, its step then
// ends as if the batch had been accepted at once.
func (r *Runner) StartUnstored(sub *submission.Submission, route catalog.Route) {
	now := r.Timer.Now()
	if b := r.find(sub.ID); b != nil && !b.isLost() {
		b.mu.Lock()
		b.requestedAt = now
		b.mu.Unlock()
		return
	}
	b := newBatch(sub, ledger.Claim{Batch: sub.ID}, nil, nil, r.earlierTokens(sub))
	b.unstored = true
	b.requestedAt = now
	r.startBatch(b, route, "prepare")
}

// RunsUnstored reports whether a batch runs here without being stored.
func (r *Runner) RunsUnstored(id string) bool {
	b := r.find(id)
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unstored && !b.over()
}

// attachClaim marks a batch that runs here already as stored under a claim, which a call
// that began at an instant has returned. It reports false if there is no such batch.
func (r *Runner) attachClaim(claim ledger.Claim, began timer.Instant) bool {
	b := r.find(claim.Batch)
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over() || !b.unstored {
		return false
	}
	b.unstored = false
	b.claim = claim
	b.confirmed(began)
	r.Journal.Decision("stored", log.Fields{
		"request_id": b.sub.ID,
		"pending":    len(b.pending),
		"open":       b.open,
		"age_ms":     b.age(r.Timer.Now()).Milliseconds(),
	})
	b.writeWake.Set()
	return true
}

// dropUnstored drops a batch that runs here without being stored, since another
// instance has it.
func (r *Runner) dropUnstored(id string, cause error) {
	b := r.find(id)
	if b == nil {
		return
	}
	b.mu.Lock()
	unstored := b.unstored
	b.mu.Unlock()
	if unstored {
		r.Drop(id, cause)
	}
}

// requestsStopped reports whether the batch is not stored and not requested any
// longer. The caller holds b.mu.
func (b *Batch) requestsStopped(now timer.Instant) bool {
	return b.unstored && now.Sub(b.requestedAt) > unstoredTimeout
}

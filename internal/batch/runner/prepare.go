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

// preparedFor is how long a batch that is not stored runs on after it was last
// asked for: a trainer that was not answered comes again within a second.
const preparedFor = 3 * time.Second

// errUnwanted ends a batch that was begun and is not asked for any more.
var errUnwanted = errors.New("the batch is not stored and not asked for any more")

// Prepare begins a batch that can't be stored now, as the key-value service is
// away. Nothing of it can be read before it is stored, and whoever asked for it
// must not be told that it has not run. The trainer stands still until the service
// is back; with its items made meanwhile, its step ends as if it had been accepted
// at once.
func (r *Runner) Prepare(sub *submission.Submission, route catalog.Route) {
	now := r.Timer.Now()
	if b := r.find(sub.ID); b != nil && !b.isLost() {
		b.mu.Lock()
		b.wanted = now
		b.mu.Unlock()
		return
	}
	b := newBatch(sub, ledger.Claim{Batch: sub.ID}, nil, nil, r.known(sub))
	b.unstored = true
	b.wanted = now
	r.adopt(b, route, "prepare")
}

// Prepared reports whether a batch runs here without being stored.
func (r *Runner) Prepared(id string) bool {
	b := r.find(id)
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unstored && !b.over()
}

// stored takes the claim of a batch that runs already. It reports false if there
// is none.
func (r *Runner) stored(claim ledger.Claim) bool {
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
	r.Journal.Decision("stored", log.Fields{
		"request_id": b.sub.ID,
		"pending":    len(b.pending),
		"open":       b.open,
		"age_ms":     b.age(r.Timer.Now()).Milliseconds(),
	})
	b.write.Set()
	return true
}

// abandon drops a batch that runs here without being stored: another instance has
// it.
func (r *Runner) abandon(id string, why error) {
	b := r.find(id)
	if b == nil {
		return
	}
	b.mu.Lock()
	unstored := b.unstored
	b.mu.Unlock()
	if unstored {
		r.Lose(id, why)
	}
}

// unwanted reports whether the batch is not stored and nobody asks for it. The
// lock is held.
func (b *Batch) unwanted(now timer.Instant) bool {
	return b.unstored && now.Sub(b.wanted) > preparedFor
}

package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/batch/standby"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/route/slowstart"
)

// The intervals and time limits of the runner.
const (
	// checkInterval is how often batches are checked, for stalled streams among
	// other things.
	checkInterval = 100 * time.Millisecond
	// writeTimeout limits one write of results.
	writeTimeout = 2 * time.Second
	// writeRetryPause is the pause after a write that failed.
	writeRetryPause = 300 * time.Millisecond
	// defaultGiveUpAfter is for routes that don't say when items are given up.
	defaultGiveUpAfter = 60 * time.Second
	// forgetAfter is how long after its submission a batch stays in memory: its
	// results can be read for two minutes.
	forgetAfter = 150 * time.Second
)

// ErrNotRunHere means that another process runs the batch, or that none does.
var ErrNotRunHere = errors.New("the batch is not run by this instance")

// Generator makes one attempt at an item. emit is called for each complete event,
// in order, and returns an error to end the attempt. A nil error means that the
// engine has completed the text. Other errors are those of package engine.
type Generator interface {
	Generate(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error
}

// Scorer scores a finished text and returns the signature of its score, or
// engine.ErrAttemptFailed if the call has failed for good. organisation is that of the batch,
// whose regions apply to the call. due is when the step of the text is due; calls of earlier
// steps are made first.
type Scorer interface {
	Score(ctx context.Context, reward *submission.Reward, organisation string, due timer.Instant) (string, error)
}

// Runner runs the batches that this process owns.
type Runner struct {
	Ledger        *ledger.Ledger
	Upstreams     *catalog.Upstreams
	Configuration *catalog.Holder
	Generator     Generator
	Scorer        Scorer
	Timer         timer.Service
	Journal       *journal.Journal
	Metrics       *Metrics
	// SlowStart bounds the items sent to cold engines; nil does not bound them.
	SlowStart *slowstart.Limiter
	// FailureDomain is the failure domain of this process, and Near its region; with the zero
	// value, all engines count as near.
	FailureDomain string
	Near          residency.Regions
	// EngineAssignment assigns engines to models; if it is nil, every engine serves all
	// models.
	EngineAssignment EngineAssignment
	// StoreDown reports whether no instance reaches the key-value service, and up to when
	// this is known. If it is nil, a service that this process does not reach counts as down
	// for all.
	StoreDown func(ctx context.Context) (until timer.Instant, down bool)
	// CopyFinder finds the results and texts that an earlier owner of a batch had;
	// if it is nil, nothing is found.
	CopyFinder CopyFinder

	// lengths converts estimates in tokens to events, scoring estimates the time
	// of reward calls; both learn from finished items. reading estimates how long
	// engines read prompts and learns from first events.
	lengths schedule.Lengths
	scoring schedule.ScoringTime
	// lending decides which engines of other models crowded steps use.
	lending lending
	reading schedule.PromptReading
	// orders holds the order in which batches look at the engines of large services.
	orders engineOrders
	tomb   tomb.Tomb
	// batchStarted wakes watch.
	batchStarted wake.Signal
	mu           sync.Mutex
	batches      map[string]*Batch
}

// Start starts the periodic check of all batches.
func (r *Runner) Start() {
	r.tomb.Go(r.watch)
}

// Stop ends all work at once. Items whose results were not written are run again by
// the next owner.
func (r *Runner) Stop() {
	r.tomb.Kill(nil)
	r.mu.Lock()
	for _, b := range r.batches {
		b.cancel()
	}
	r.mu.Unlock()
	_ = r.tomb.Wait()
}

// Submit accepts a batch and starts it. Its errors are those of ledger.Accept.
func (r *Runner) Submit(ctx context.Context, sub *submission.Submission, route catalog.Route) error {
	began := r.Timer.Now()
	claim, err := r.Ledger.Accept(ctx, sub)
	if errors.Is(err, ledger.ErrExists) {
		r.dropUnstored(sub.ID, err)
	}
	if err != nil {
		return err
	}
	if r.attachClaim(claim, began) {
		return nil
	}
	if claim.AlreadyAccepted {
		err := r.Adopt(ctx, claim)
		if errors.Is(err, ledger.ErrFenced) {
			// The batch was accepted and has ended since. If it were refused now,
			// its trainer would be told that it has not run.
			return ledger.ErrExists
		}
		return err
	}
	b := newBatch(sub, claim, nil, nil, r.earlierTokens(sub))
	b.confirmed(began)
	r.startBatch(b, route, "accept")
	return nil
}

// Adopt continues a batch that this process has claimed.
func (r *Runner) Adopt(ctx context.Context, claim ledger.Claim) error {
	began := r.Timer.Now()
	if r.attachClaim(claim, began) {
		return nil
	}
	copied := r.findCopy(ctx, claim.Batch)
	rec, err := r.Ledger.Load(ctx, claim.Batch)
	if err != nil {
		return err
	}
	if rec.Ended {
		// The batch was ended after it was claimed: nothing of it may run any
		// more.
		return ledger.ErrFenced
	}
	cfg := r.Configuration.Current()
	if cfg == nil {
		return errors.New("no configuration yet")
	}
	// If the route no longer exists, the items are given up when their time is
	// over.
	route, _ := cfg.Find(rec.Submission.Host, rec.Submission.Path)
	claim.Chunks = rec.Chunks
	c := <-copied
	if route.SingleVersion {
		c.Results = slices.DeleteFunc(c.Results, func(res submission.Result) bool { return len(res.Versions) > 1 })
		c.Progress = slices.DeleteFunc(c.Progress, ofSeveralVersions)
		rec.Progress = slices.DeleteFunc(rec.Progress, ofSeveralVersions)
	}
	b := newBatch(rec.Submission, claim, rec.Results, mergeProgress(rec.Progress, c.Progress), r.earlierTokens(rec.Submission))
	b.mu.Lock()
	// The end was looked for in the ledger after began.
	b.confirmed(began)
	b.restored = b.restoreResults(c.Results, r.Timer.Now())
	b.mu.Unlock()
	r.startBatch(b, route, "take_over")
	return nil
}

// ofSeveralVersions reports whether several weight versions generated a text.
func ofSeveralVersions(p submission.Progress) bool { return len(p.Versions) > 1 }

// findCopy looks for the copy of a batch in the background.
func (r *Runner) findCopy(ctx context.Context, id string) <-chan standby.Copy {
	found := make(chan standby.Copy, 1)
	if r.CopyFinder == nil {
		found <- standby.Copy{}
		return found
	}
	go func() { found <- r.CopyFinder.Find(ctx, id) }()
	return found
}

// maxCarryOverSteps is how many steps back an item may come from. Items whose
// texts were not complete at the end of a step are submitted again in one of the
// next steps.
const maxCarryOverSteps = 4

// earlierTokens returns the items of a submission that an earlier batch of its
// model had here, each with the fewest tokens that its text can have.
func (r *Runner) earlierTokens(sub *submission.Submission) map[string]int {
	if sub.Model == "" {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := make(map[string]int)
	for _, b := range r.batches {
		if b.sub.Model != sub.Model || b.sub.Step >= sub.Step || b.sub.Step < sub.Step-maxCarryOverSteps {
			continue
		}
		b.mu.Lock()
		for i := range sub.Items {
			if t := b.tasks[sub.Items[i].ID]; t != nil {
				tokens[t.item.ID] = max(tokens[t.item.ID], r.lengths.Tokens(t.lastEvent))
			}
		}
		b.mu.Unlock()
	}
	return tokens
}

// startBatch adds a batch to those of this process and starts to work on it.
func (r *Runner) startBatch(b *Batch, route catalog.Route, decision string) {
	b.route = route
	b.mu.Lock()
	b.service = r.Upstreams.ChooseService(route, r.allowedRegions(b), rand.Float64())
	b.mu.Unlock()
	after := route.GiveUpAfter
	if after == 0 {
		after = defaultGiveUpAfter
	}
	age := time.Since(b.sub.Submitted())
	b.startedAt = r.Timer.Now()
	for _, t := range b.tasks {
		t.timings.lapStart = b.startedAt
	}
	b.submittedAt = b.startedAt.Add(-max(0, age))
	b.giveUpAt = r.Timer.Now().Add(after - min(max(0, age), after))
	r.mu.Lock()
	if r.batches == nil {
		r.batches = make(map[string]*Batch)
	}
	if old := r.batches[b.sub.ID]; old != nil && !old.isLost() {
		r.mu.Unlock()
		return
	}
	r.batches[b.sub.ID] = b
	r.mu.Unlock()
	r.Metrics.batchStarted()
	r.Journal.Decision(decision, log.Fields{
		"request_id": b.sub.ID,
		"step":       b.sub.Step,
		"model":      b.sub.Model,
		"items":      len(b.sub.Items),
		"open":       b.open,
		"oldest":     b.sub.OldestVersion,
		"restored":   b.restored,
		"service":    b.service,
		"age_ms":     age.Milliseconds(),
	})
	r.batchStarted.Set()
	go r.dispatchLoop(b)
	go r.writeLoop(b)
}

// HandOver stops a batch here and makes another process its owner, with the results
// and texts so far.
func (r *Runner) HandOver(ctx context.Context, id string, to ledger.Owner) error {
	b := r.find(id)
	if b == nil {
		return ErrNotRunHere
	}
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	b.mu.Lock()
	if b.over() {
		b.mu.Unlock()
		return ErrNotRunHere
	}
	b.lost = true
	b.handingOver = true
	claim, pending, progress := b.claim, b.pending, b.progress(1)
	b.notifyReaders()
	b.mu.Unlock()
	b.cancel()
	err := r.Ledger.HandOver(ctx, claim, to, pending, progress)
	if err == nil {
		b.mu.Lock()
		b.handingOver = false
		b.mu.Unlock()
	}
	return err
}

// Has reports whether this process runs the batch and the ledger has accepted it.
func (r *Runner) Has(id string) bool {
	b := r.find(id)
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.lost && !b.unstored
}

func (r *Runner) find(id string) *Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.batches[id]
}

// Claims returns the claims on the stored batches that are not over.
func (r *Runner) Claims() []ledger.Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	var claims []ledger.Claim
	for _, b := range r.batches {
		b.mu.Lock()
		if !b.over() && !b.unstored {
			claims = append(claims, b.claim)
		}
		b.mu.Unlock()
	}
	return claims
}

// End ends a batch: its items stop at once, and the end is recorded in the
// ledger.
func (r *Runner) End(ctx context.Context, id string) error {
	b := r.find(id)
	if b == nil {
		return ErrNotRunHere
	}
	b.mu.Lock()
	if b.unstored {
		b.mu.Unlock()
		return ErrNotRunHere
	}
	if b.endStored {
		b.mu.Unlock()
		return nil
	}
	alreadyEnded, open := b.ended, b.open
	b.ended = true
	b.notifyReaders()
	b.mu.Unlock()
	b.cancel()
	// A write that is in progress first stores its chunk or fails.
	b.writeMu.Lock()
	b.mu.Lock()
	claim, lost := b.claim, b.lost
	b.mu.Unlock()
	b.writeMu.Unlock()
	if lost {
		return ErrNotRunHere
	}
	if !alreadyEnded {
		r.Journal.Decision("end", log.Fields{
			"request_id": id,
			"unfinished": open,
			"whole":      b.wholeGroups,
			"wanted":     b.sub.WantedGroups,
			// How the time of a step was spent: until the groups that the trainer
			// waits for were whole, until they could be read, and until the
			// trainer ended the batch.
			"critical":    b.criticalItem,
			"made_ms":     b.msSinceStart(b.stepDoneAt),
			"readable_ms": b.msSinceStart(b.readableAt),
			"age_ms":      r.Timer.Now().Sub(b.startedAt).Milliseconds(),
		})
	}
	err := r.Ledger.EndClaimed(ctx, claim, time.Now())
	if errors.Is(err, ledger.ErrFenced) {
		// The caller ends the batch in the ledger and notifies its present owner.
		r.Drop(id, err)
		return ErrNotRunHere
	}
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endStored = true
	return nil
}

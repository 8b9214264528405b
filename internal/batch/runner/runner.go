package runner

import (
	"context"
	"errors"
	"math/rand/v2"
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
)

// The times of the runner.
const (
	// lookEvery is how often streams are looked at for stalls.
	lookEvery = 100 * time.Millisecond
	// writeTimeout bounds one write of results.
	writeTimeout = 2 * time.Second
	// writePause is the pause after a write that failed.
	writePause = 300 * time.Millisecond
	// defaultGiveUp is for routes that don't say when items are given up.
	defaultGiveUp = 60 * time.Second
	// forgetAfter is how long after its submission a batch stays in memory:
	// its results can be read for two minutes.
	forgetAfter = 150 * time.Second
)

// ErrNotHere means that another process runs the batch, or none.
var ErrNotHere = errors.New("the batch is not run by this instance")

// Generator makes one attempt at an item. emit is called for each whole event,
// in order, and returns an error to end the attempt. A nil error means that
// the engine ended the text as whole. Errors: those of package engine.
type Generator interface {
	Generate(ctx context.Context, u *catalog.Upstream, g Generation, emit func(Event) error) error
}

// Scorer scores a finished text and returns the proof of it, or
// engine.ErrAttemptFailed when the call fails for good.
type Scorer interface {
	Score(ctx context.Context, reward *submission.Reward) (string, error)
}

// Runner runs batches.
type Runner struct {
	Ledger    *ledger.Ledger
	Book      *catalog.Book
	Holder    *catalog.Holder
	Generator Generator
	Scorer    Scorer
	Timer     timer.Service
	Journal   *journal.Journal
	Metrics   *Metrics
	// FailureDomain is this process's own.
	FailureDomain string
	// Division says which engines are for which model; nil leaves all to all.
	Division Division
	// Copies finds what an earlier owner of a batch had made; nil finds nothing.
	Copies Copies

	lengths schedule.Lengths
	scoring schedule.Scoring
	tomb    tomb.Tomb
	begun   wake.Signal
	mu      sync.Mutex
	batches map[string]*Batch
}

// Start begins the runner's look-out.
func (r *Runner) Start() {
	r.tomb.Go(r.watch)
}

// Stop ends all work at once. What was not written runs again at the next
// owner.
func (r *Runner) Stop() {
	r.tomb.Kill(nil)
	r.mu.Lock()
	for _, b := range r.batches {
		b.cancel()
	}
	r.mu.Unlock()
	_ = r.tomb.Wait()
}

// Submit accepts a batch and begins it. Errors: those of ledger.Accept.
func (r *Runner) Submit(ctx context.Context, sub *submission.Submission, route catalog.Route) error {
	claim, err := r.Ledger.Accept(ctx, sub)
	if errors.Is(err, ledger.ErrExists) {
		r.abandon(sub.ID, err)
	}
	if err != nil {
		return err
	}
	if r.stored(claim) {
		return nil
	}
	if claim.Found {
		err := r.Adopt(ctx, claim)
		if errors.Is(err, ledger.ErrFenced) {
			// It was accepted, and has ended since: refused now, its trainer would
			// be told that it has not run.
			return ledger.ErrExists
		}
		return err
	}
	r.adopt(newBatch(sub, claim, nil, nil, r.known(sub)), route, "accept")
	return nil
}

// Adopt goes on with a batch that this process has claimed.
func (r *Runner) Adopt(ctx context.Context, claim ledger.Claim) error {
	if r.stored(claim) {
		return nil
	}
	copied := r.copied(ctx, claim.Batch)
	rec, err := r.Ledger.Load(ctx, claim.Batch)
	if err != nil {
		return err
	}
	if rec.Ended {
		// It was ended after it was claimed: nothing of it may run any more.
		return ledger.ErrFenced
	}
	cfg := r.Holder.Current()
	if cfg == nil {
		return errors.New("no configuration yet")
	}
	// A route that is gone gives up its items at their time.
	route, _ := cfg.Find(rec.Submission.Host, rec.Submission.Path)
	claim.Chunks = rec.Chunks
	c := <-copied
	b := newBatch(rec.Submission, claim, rec.Results, longer(rec.Progress, c.Progress), r.known(rec.Submission))
	b.mu.Lock()
	b.restored = b.restore(c.Results, r.Timer.Now())
	b.mu.Unlock()
	r.adopt(b, route, "take_over")
	return nil
}

// copied looks for the copy of a batch.
func (r *Runner) copied(ctx context.Context, id string) <-chan standby.Copy {
	found := make(chan standby.Copy, 1)
	if r.Copies == nil {
		found <- standby.Copy{}
		return found
	}
	go func() { found <- r.Copies.Find(ctx, id) }()
	return found
}

// againSteps is how many steps back an item may come from: those whose texts
// were not whole at the end of one step come again in one of the next.
const againSteps = 4

// known returns the items of a batch that an earlier one of its model had here,
// with the tokens that they have at least.
func (r *Runner) known(sub *submission.Submission) map[string]int {
	if sub.Model == "" {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[string]int)
	for _, b := range r.batches {
		if b.sub.Model != sub.Model || b.sub.Step >= sub.Step || b.sub.Step < sub.Step-againSteps {
			continue
		}
		b.mu.Lock()
		for i := range sub.Items {
			if t := b.tasks[sub.Items[i].ID]; t != nil {
				known[t.item.ID] = max(known[t.item.ID], r.lengths.Tokens(t.last))
			}
		}
		b.mu.Unlock()
	}
	return known
}

// adopt begins the work on a batch.
func (r *Runner) adopt(b *Batch, route catalog.Route, why string) {
	b.route = route
	b.service = route.Choose(rand.Float64())
	after := route.GiveUpAfter
	if after == 0 {
		after = defaultGiveUp
	}
	age := time.Since(b.sub.Submitted())
	b.begun = r.Timer.Now()
	for _, t := range b.tasks {
		t.spent.since = b.begun
	}
	b.asked = b.begun.Add(-max(0, age))
	b.gives = r.Timer.Now().Add(after - min(max(0, age), after))
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
	r.Metrics.begun()
	r.Journal.Decision(why, log.Fields{
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
	r.begun.Set()
	go r.drive(b)
	go r.writeOut(b)
}

// HandOver stops a batch here and makes another process its owner, with all that
// was made of it.
func (r *Runner) HandOver(ctx context.Context, id string, to ledger.Owner) error {
	b := r.find(id)
	if b == nil {
		return ErrNotHere
	}
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	if b.over() {
		b.mu.Unlock()
		return ErrNotHere
	}
	b.lost = true
	b.handing = true
	claim, pending, progress := b.claim, b.pending, b.progress(1)
	b.tell()
	b.mu.Unlock()
	b.cancel()
	err := r.Ledger.HandOver(ctx, claim, to, pending, progress)
	if err == nil {
		b.mu.Lock()
		b.handing = false
		b.mu.Unlock()
	}
	return err
}

// Has reports whether this process runs the batch.
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

// Claims returns the claims on batches that are not over.
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

// End ends a batch: its items stop at once, and the ledger keeps the end.
func (r *Runner) End(ctx context.Context, id string) error {
	b := r.find(id)
	if b == nil {
		return ErrNotHere
	}
	b.mu.Lock()
	if b.unstored {
		b.mu.Unlock()
		return ErrNotHere
	}
	if b.endKept {
		b.mu.Unlock()
		return nil
	}
	already, open := b.ended, b.open
	b.ended = true
	b.tell()
	b.mu.Unlock()
	b.cancel()
	// A write that is under way decides its chunk first.
	b.writing.Lock()
	b.mu.Lock()
	claim, lost := b.claim, b.lost
	b.mu.Unlock()
	b.writing.Unlock()
	if lost {
		return ErrNotHere
	}
	if !already {
		r.Journal.Decision("end", log.Fields{
			"request_id": id,
			"unfinished": open,
			"whole":      b.wholeGroups,
			"wanted":     b.sub.WantedGroups,
			// How the time of a step was spent: until the wanted groups were
			// made, until they could be read, and until the trainer's end.
			"critical":    b.critical,
			"made_ms":     b.sinceBegun(b.made),
			"readable_ms": b.sinceBegun(b.readable),
			"age_ms":      r.Timer.Now().Sub(b.begun).Milliseconds(),
		})
	}
	if err := r.Ledger.EndClaimed(ctx, claim, time.Now()); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endKept = true
	return nil
}

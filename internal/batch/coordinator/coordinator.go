package coordinator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/runner"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Timeouts, pauses and retry delays of calls about batches.
const (
	// MaxReadWait is how long a read may wait for results.
	MaxReadWait = time.Second
	// submitTimeout bounds storing a batch in the key-value service. Trainers
	// wait about half a second for the answer, and retry.
	submitTimeout = 2500 * time.Millisecond
	// homeTimeout is how long the home of a batch may take to accept it before
	// this instance accepts it itself.
	homeTimeout = 400 * time.Millisecond
	// callTimeout bounds a call to the owner of a batch, on top of the time that
	// a read may wait for results.
	callTimeout = 600 * time.Millisecond
	// ledgerReaderTimeout bounds a call to the ledger reader of a batch, which lists
	// some megabytes.
	ledgerReaderTimeout = 1500 * time.Millisecond
	// ledgerTimeout bounds one read of the ledger.
	ledgerTimeout = 4 * time.Second
	// endTimeout bounds ending a batch.
	endTimeout = 3 * time.Second
	// hintTimeout bounds telling one instance who owns a batch.
	hintTimeout = 300 * time.Millisecond
	// readRetryAfter tells readers when to retry: the results of a step are listed
	// as soon as the key-value service is back, and the trainer is idle until it
	// reads them.
	readRetryAfter = 300 * time.Millisecond
	// unavailableRetryAfter tells trainers when to retry while the key-value service
	// is unavailable. A batch that is here when the service comes back is accepted
	// at once; with 2 s between retries a trainer would wait 1 s longer on average.
	unavailableRetryAfter = 700 * time.Millisecond
)

// Peers calls other instances. Read, Body and End return runner.ErrNotRunHere if
// the instance does not run the batch.
type Peers interface {
	Read(ctx context.Context, address, id string, after int, wait time.Duration) (runner.Page, error)
	// Stored reads a batch for which no live owner is known. With an item it returns
	// the body of the item and whether there is one, else a page of results.
	Stored(ctx context.Context, address, id, item string, after int) (runner.Page, []byte, bool, error)
	Body(ctx context.Context, address, id, item string) ([]byte, bool, error)
	End(ctx context.Context, address, id string) error
	Hint(ctx context.Context, address string, hint OwnerHint) error
	// Runs reports whether the instance answers that it runs the batch.
	Runs(ctx context.Context, address, id string) bool
	Adopt(ctx context.Context, address, id string) error
	Submit(ctx context.Context, address string, sub *submission.Submission) error
}

// Coordinator serves calls about batches: it forwards each to the owner of the batch, or
// answers from the ledger.
type Coordinator struct {
	Runner   *runner.Runner
	Ledger   *ledger.Ledger
	Registry *registry.Registry
	Peers    Peers
	Timer    timer.Service
	Journal  *journal.Journal
	// Leaving reports whether this instance is stopping and takes no new batches.
	Leaving func() bool
	// OnAccepted is called for each batch that is accepted at any instance, with its
	// number of items and the tokens that they are expected to generate, and for batches
	// that are refused because no engine is in their regions. It may be nil.
	OnAccepted func(hint OwnerHint)
	// Evacuated returns the failure domains whose evacuation leaves a route without engines, and
	// nil if there are engines. It may be nil.
	Evacuated func(route catalog.Route) []string
	// Config finds the route of a batch that another instance forwards.
	Config *catalog.Holder

	// claimsUncertain is set until the claims of this instance are looked up again.
	claimsUncertain atomic.Bool
	// waiting is set while batches of this instance may wait for an instance that may run them.
	waiting atomic.Bool
	mu      sync.Mutex
	owners  recent[ledger.Owner]
	// bindings holds what determines the regions of each batch, as far as it is known.
	bindings recent[submission.Binding]
	// pendingStores holds, by batch, the channel for the result of each store operation
	// that is under way at this instance.
	pendingStores map[string]chan error
	// announced holds when the demand of each model was announced last, by model and regions.
	announced map[string]timer.Instant
	// finished caches batches that don't change any more.
	finished recordCache
	// loads are the listings of batches that are in progress.
	loads singleflight.Group
	// takeOverFailed is set when a take-over fails, so that Run sweeps again soon.
	takeOverFailed wake.Signal
}

// Submit accepts a batch. When it returns nil, the batch is durably stored.
// All batches of a model run at its home as long as that answers, so that each step
// reuses the home's connections to the engines.
func (d *Coordinator) Submit(ctx context.Context, sub *submission.Submission, route catalog.Route) error {
	sub.Bind(d.Config.Current())
	if refusal, wantsEngines := d.checkRegions(sub, route); refusal != nil {
		err := d.refuse(ctx, sub, refusal)
		if err != nil && wantsEngines {
			d.announceDemand(sub)
		}
		return err
	}
	triedHome := false
	for _, home := range Homes(d.membersFor(sub.Binding()), d.Registry.Self().Region, homeKey(sub)) {
		if home.Name == d.Ledger.Self.Instance {
			break
		}
		err := d.submitToHome(ctx, home, sub)
		if err == nil {
			d.Journal.Decision("accepted_at_home", log.Fields{
				"request_id": sub.ID,
				"home":       home.Name,
			})
			return nil
		}
		d.Journal.Warn("home does not accept", err, log.Fields{
			"request_id": sub.ID,
			"home":       home.Name,
		})
		if errors.Is(err, ErrPrepared) {
			return preparedProblem(err)
		}
		if problem.Is(err, problem.NoUpstream) && !triedHome {
			return err
		}
		if refusal := d.checkRefusal(err); refusal != nil {
			if triedHome {
				return withUnknownOutcome(refusal)
			}
			return refusal
		}
		// The next instance repeats the same transaction, which settles whether the
		// batch was stored.
		triedHome = true
	}
	err := d.Accept(ctx, sub, route)
	if triedHome {
		return d.outcomeAfterHome(err)
	}
	return err
}

// submitToHome forwards a batch to its home. If the home has begun the batch and can't
// store it, and the key-value service answers here, the home is asked once more.
// ErrPrepared means that the batch is left to the home.
func (d *Coordinator) submitToHome(ctx context.Context, home registry.Member, sub *submission.Submission) error {
	for again := false; ; again = true {
		call, cancel := context.WithTimeout(ctx, homeTimeout)
		err := d.Peers.Submit(call, home.PeerAddress, sub)
		cancel()
		if !errors.Is(err, ErrPrepared) {
			return err
		}
		accepted, leave := d.leftToHome(ctx, sub.ID)
		switch {
		case accepted:
			return nil
		case leave:
			return err
		case again:
			return errHomeCutOff
		}
	}
}

// errHomeCutOff means that the home of a batch does not reach the key-value service
// while this instance does.
var errHomeCutOff = errors.New("the home of the batch is cut off from the key-value service")

// outcomeAfterHome replaces the outcome "not run" of err by "unknown": the home of the
// batch did not answer and may have stored it.
func (d *Coordinator) outcomeAfterHome(err error) error {
	if err == nil {
		return nil
	}
	return withUnknownOutcome(problem.From(err))
}

// withUnknownOutcome replaces the outcome "not run" by "unknown".
func withUnknownOutcome(e *problem.Error) error {
	if e.Kind.Outcome != problem.NotRun {
		return e
	}
	return problem.ChangeUnknown.With(e).WithOutcome(problem.Unknown).WithRetryAfter(e.RetryAfter)
}

// homeKey returns the key that the home of a batch is ranked by: its model, or its
// host and path if it has none.
func homeKey(sub *submission.Submission) string {
	if sub.Model != "" {
		return sub.Model
	}
	return sub.Host + sub.Path
}

// Accept accepts a batch at this instance, without forwarding it.
func (d *Coordinator) Accept(ctx context.Context, sub *submission.Submission, route catalog.Route) error {
	if d.Leaving() {
		return problem.Leaving.Withf("batch %s", sub.ID).WithRetryAfter(100 * time.Millisecond)
	}
	sub.Bind(d.Config.Current())
	if err := d.checkHere(sub); err != nil {
		return d.refuse(ctx, sub, problem.From(err))
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if err := d.refuseEvacuated(ctx, sub, route); err != nil {
		return err
	}
	prepared, err := d.accept(ctx, sub, route)
	if err == nil || errors.Is(err, ledger.ErrExists) {
		return nil
	}
	e := submitProblem(err)
	d.Journal.Decision("refuse_batch", log.Fields{
		"request_id": sub.ID,
		"items":      len(sub.Items),
		"outcome":    e.Kind.Code,
		"reason":     err.Error(),
		"prepared":   prepared,
	})
	if prepared {
		return preparedProblem(ErrPrepared)
	}
	return e
}

// announceAccepted tells all instances the owner of a batch that was stored just now.
// If the batch had been accepted before, it has its owner adopt it instead.
func (d *Coordinator) announceAccepted(sub *submission.Submission, err error) {
	switch {
	case err == nil:
		d.announceOwner(OwnerHint{
			Batch: sub.ID,
			Owner: d.Ledger.Self,
			Model: sub.Model,
			Items: len(sub.Items),
			Work:  sub.EstimatedTokens(),

			Binding: sub.Binding(),
		})
		d.leaveIfNotAllowed(sub.Binding())
	case errors.Is(err, ledger.ErrExists):
		d.Journal.Decision("accepted_before", log.Fields{
			"request_id": sub.ID,
		})
		go d.ensureOwnerRuns(sub.ID)
	}
}

// submitProblem reports the outcome "not run" only if the write can no longer take
// effect.
func submitProblem(err error) *problem.Error {
	switch {
	case errors.Is(err, ledger.ErrTooLarge):
		return problem.TooLarge.With(err)
	case errors.Is(err, ledger.ErrOutcomeUnknown):
		return problem.ChangeUnknown.With(err).WithOutcome(problem.Unknown)
	case problem.Is(err, problem.RegionsEmpty), problem.Is(err, problem.RegionUnavailable):
		return problem.From(err)
	}
	return problem.PlatformDown.With(err).WithRetryAfter(unavailableRetryAfter)
}

// End ends a batch. It is idempotent.
func (d *Coordinator) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	err := d.Runner.End(ctx, id)
	if errors.Is(err, runner.ErrNotRunHere) {
		err = d.endElsewhere(ctx, id)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ledger.ErrUnknown):
		return problem.NotFound.Withf("batch %s: %w", id, err)
	}
	return problem.PlatformDown.Withf("end of batch %s: %w", id, err).WithRetryAfter(unavailableRetryAfter)
}

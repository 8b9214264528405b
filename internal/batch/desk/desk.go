package desk

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

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

// The times of the desk.
const (
	// MaxWait is how long a read may wait for results.
	MaxWait = time.Second
	// submitTimeout is how long a batch may wait for the key-value service.
	// Trainers wait about half a second for the answer, and come back.
	submitTimeout = 2500 * time.Millisecond
	// homeTimeout is how long the home of a batch may take to accept it before
	// this instance does it itself.
	homeTimeout = 400 * time.Millisecond
	// callTimeout bounds a call to the owner of a batch, its wait not counted.
	callTimeout = 600 * time.Millisecond
	// readerTimeout bounds a call to the instance that reads a batch from the
	// ledger, which lists some megabytes.
	readerTimeout = 1500 * time.Millisecond
	// ledgerTimeout bounds a look into the ledger.
	ledgerTimeout = 4 * time.Second
	// endTimeout bounds the end of a batch.
	endTimeout = 3 * time.Second
	// endTells and endPause are how often and how soon the owner of a batch is told
	// that it was ended without it.
	endTells = 4
	endPause = 400 * time.Millisecond
	// hintTimeout bounds the news of an accepted batch to one instance.
	hintTimeout = 300 * time.Millisecond
	// retryRead tells readers when to come back: the results of a step are listed
	// as soon as the service is back, and a trainer stands still until it reads
	// them.
	retryRead = 300 * time.Millisecond
	// retryAway tells trainers when to come back while the service is away. A batch
	// that is here when the service comes back is accepted at once; two seconds
	// between two tries cost one in the mean.
	retryAway = 700 * time.Millisecond
)

// Peers calls other instances. Read, Body and End return runner.ErrNotHere if
// the instance does not run the batch.
type Peers interface {
	Read(ctx context.Context, address, id string, after int, wait time.Duration) (runner.Page, error)
	// Stored reads a batch that no living instance runs as far as is known.
	Stored(ctx context.Context, address, id, item string, after int) (runner.Page, []byte, bool, error)
	Body(ctx context.Context, address, id, item string) ([]byte, bool, error)
	End(ctx context.Context, address, id string) error
	Hint(ctx context.Context, address string, n News) error
	// Runs reports whether an instance says that it runs the batch.
	Runs(ctx context.Context, address, id string) bool
	Adopt(ctx context.Context, address, id string) error
	Submit(ctx context.Context, address string, sub *submission.Submission) error
}

// Desk answers calls about batches.
type Desk struct {
	Runner   *runner.Runner
	Ledger   *ledger.Ledger
	Registry *registry.Registry
	Peers    Peers
	Timer    timer.Service
	Journal  *journal.Journal
	// Leaving reports whether this instance takes no new batches.
	Leaving func() bool
	// Asked hears of the items of each step that is accepted anywhere, and of the
	// tokens that they are expected to make; nil is not called.
	Asked func(model string, items int, tokens int64)
	// Config finds the route of a batch that comes from another instance.
	Config *catalog.Holder

	doubt  atomic.Bool
	mu     sync.Mutex
	owners map[string]ledger.Owner
	// storing are the batches that were begun here and are not stored yet.
	storing map[string]chan error
	whole   shelf
	// failed tells of take-overs that failed.
	failed wake.Signal
}

// Submit accepts a batch. A nil error means that it is kept whole from now on.
// All batches of one model run at the same instance, as long as it answers: its
// connections to the engines serve the next step again.
func (d *Desk) Submit(ctx context.Context, sub *submission.Submission, route catalog.Route) error {
	tried := false
	for _, home := range Homes(d.Registry.Members(), homeKey(sub)) {
		if home.Name == d.Ledger.Self.Instance {
			break
		}
		err := d.submitAt(ctx, home, sub)
		if err == nil {
			d.Journal.Decision("accepted_at_home", log.Fields{
				"request_id": sub.ID,
				"home":       home.Name,
			})
			return nil
		}
		d.Journal.Trouble("home does not accept", err, log.Fields{
			"request_id": sub.ID,
			"home":       home.Name,
		})
		if errors.Is(err, ErrPrepared) {
			return preparedProblem(err)
		}
		// What the other instance did is settled by the same transaction at the
		// next one.
		tried = true
	}
	err := d.Accept(ctx, sub, route)
	if tried {
		return d.afterHome(err)
	}
	return err
}

// submitAt brings a batch to its home. One that has begun it and can't store it is asked
// once more if the service answers here; ErrPrepared means that the batch is left to it.
func (d *Desk) submitAt(ctx context.Context, home registry.Member, sub *submission.Submission) error {
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

// errHomeCutOff means that the home of a batch does not reach the service and this
// instance does.
var errHomeCutOff = errors.New("the home of the batch is cut off from the key-value service")

// afterHome takes back a "not run" that this instance can't vouch for: the home
// of the batch did not say what became of it, and may have stored it.
func (d *Desk) afterHome(err error) error {
	if err == nil {
		return nil
	}
	return notVouched(problem.From(err))
}

// notVouched takes back a "not run".
func notVouched(e *problem.Error) error {
	if e.Kind.Outcome != problem.NotRun {
		return e
	}
	return problem.ChangeUnknown.With(e).WithOutcome(problem.Unknown).WithRetryAfter(e.RetryAfter)
}

// homeKey is what the instance of a batch is chosen by.
func homeKey(sub *submission.Submission) string {
	if sub.Model != "" {
		return sub.Model
	}
	return sub.Host + sub.Path
}

// Accept accepts a batch at this instance.
func (d *Desk) Accept(ctx context.Context, sub *submission.Submission, route catalog.Route) error {
	if d.Leaving() {
		return problem.Leaving.Withf("batch %s", sub.ID).WithRetryAfter(100 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
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

// settled lets the others know of a batch that is accepted.
func (d *Desk) settled(sub *submission.Submission, err error) {
	switch {
	case err == nil:
		d.tell(News{
			Batch: sub.ID,
			Owner: d.Ledger.Self,
			Model: sub.Model,
			Items: len(sub.Items),
			Work:  sub.Work(),
		})
	case errors.Is(err, ledger.ErrExists):
		d.Journal.Decision("accepted_before", log.Fields{
			"request_id": sub.ID,
		})
		go d.remind(sub.ID)
	}
}

// submitProblem says "not run" only if the write can't be done any more.
func submitProblem(err error) *problem.Error {
	switch {
	case errors.Is(err, ledger.ErrTooLarge):
		return problem.TooLarge.With(err)
	case errors.Is(err, ledger.ErrUnsettled):
		return problem.ChangeUnknown.With(err).WithOutcome(problem.Unknown)
	}
	return problem.PlatformDown.With(err).WithRetryAfter(retryAway)
}

// News is who runs a batch. Of one that was just accepted it says how much work it
// is as well.
type News struct {
	Batch string
	Owner ledger.Owner
	Model string
	Items int
	Work  int64
}

// tell lets all instances know who runs a batch: a read at any of them then needs
// no call of the key-value service.
func (d *Desk) tell(n News) {
	d.Hint(n)
	for _, m := range d.Registry.Members() {
		if m.Name == d.Registry.Self().Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), hintTimeout)
			defer cancel()
			if err := d.Peers.Hint(ctx, m.PeerAddress, n); err != nil {
				d.Journal.Detail("hint not taken", log.Fields{
					"request_id": n.Batch,
					"instance":   m.Name,
					"error":      err.Error(),
				})
			}
		}()
	}
}

// Hint notes who runs a batch.
func (d *Desk) Hint(n News) {
	if n.Model != "" && d.Asked != nil {
		d.Asked(n.Model, n.Items, n.Work)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owners == nil {
		d.owners = make(map[string]ledger.Owner)
	}
	d.owners[n.Batch] = n.Owner
}

func (d *Desk) forget(id string, owner ledger.Owner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owners[id] == owner {
		delete(d.owners, id)
	}
}

// hinted returns the instance that runs a batch by the hints, if it is another
// one that lives.
func (d *Desk) hinted(id string) (ledger.Owner, bool) {
	d.mu.Lock()
	owner, ok := d.owners[id]
	d.mu.Unlock()
	return owner, ok && owner != d.Ledger.Self && d.Registry.Alive(owner.Instance, owner.Incarnation)
}

// owner returns who runs a batch, by the hints or else by the ledger. It
// returns ledger.ErrUnknown for a batch that is not open.
func (d *Desk) owner(ctx context.Context, id string) (ledger.Owner, error) {
	if owner, ok := d.hinted(id); ok {
		return owner, nil
	}
	claim, err := d.Ledger.Find(ctx, id)
	if err != nil {
		return ledger.Owner{}, err
	}
	d.Hint(News{
		Batch: id,
		Owner: claim.Owner,
	})
	return claim.Owner, nil
}

// other returns the owner's address if it is another live instance.
func (d *Desk) other(ctx context.Context, id string) (ledger.Owner, bool) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	owner, err := d.owner(ctx, id)
	return owner, err == nil && owner != d.Ledger.Self
}

// End ends a batch. It may be repeated.
func (d *Desk) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	err := d.Runner.End(ctx, id)
	if errors.Is(err, runner.ErrNotHere) {
		err = d.endElsewhere(ctx, id)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ledger.ErrUnknown):
		return problem.NotFound.Withf("no batch %s", id)
	}
	return problem.PlatformDown.Withf("end of batch %s: %w", id, err).WithRetryAfter(retryAway)
}

// endElsewhere has the owner end a batch, or ends it in the ledger and tells the
// owner then.
func (d *Desk) endElsewhere(ctx context.Context, id string) error {
	owner, ok := d.other(ctx, id)
	if ok {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.Peers.End(call, owner.Address, id)
		cancel()
		if err == nil {
			return nil
		}
	}
	if err := d.Ledger.End(ctx, id, time.Now()); err != nil {
		return err
	}
	go d.tellEnd(id, owner)
	return nil
}

// tellEnd tells an owner that its batch was ended in the ledger. One that is just
// taking the batch over did not know of it when it was asked; it would send items
// to engines until its next write, long after the trainer's end was acknowledged.
// An owner without a name is this instance.
func (d *Desk) tellEnd(id string, owner ledger.Owner) {
	for range endTells {
		timer.Wait(d.Timer, endPause, nil)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := d.Runner.End(ctx, id)
		if owner.Instance != "" && owner != d.Ledger.Self {
			err = d.Peers.End(ctx, owner.Address, id)
		}
		cancel()
		if err == nil {
			return
		}
	}
}

package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

const (
	// storeRetryPause is the pause between two attempts to store a batch.
	storeRetryPause = 150 * time.Millisecond
	// storeWait is how long a submission waits for the batch to be stored. It is
	// shorter than homeTimeout so that the instance that forwarded the batch gets an
	// answer.
	storeWait = 250 * time.Millisecond
)

// ErrPrepared means that the home of a batch has begun it and can't store it yet. The
// batch may be stored at any later time.
var ErrPrepared = errors.New("the home has begun the batch and has not stored it yet")

// preparedProblem returns the error for a batch that was begun and may be stored
// at any later time; its outcome is unknown.
func preparedProblem(err error) *problem.Error {
	return problem.ChangeUnknown.With(err).WithOutcome(problem.Unknown).WithRetryAfter(unavailableRetryAfter)
}

// accept stores a batch and begins it. While the key-value service is unavailable or
// slow, the home begins the batch anyway and stores it when it can, since the trainer
// is idle without its batch. No other instance does so: the first one to reach the
// service would begin the batch a second time.
func (d *Coordinator) accept(ctx context.Context, sub *submission.Submission, route catalog.Route) (prepared bool, err error) {
	if !d.isHome(sub) {
		err = d.Runner.Submit(ctx, sub, route)
		d.announceAccepted(sub, err)
		return false, err
	}
	stored := d.store(sub, route)
	wait := d.Timer.Once(storeWait)
	defer wait.Close()
	select {
	case err := <-stored:
		stored <- err
		return storeUndecided(err) || d.Runner.RunsUnstored(sub.ID), err
	case <-wait.C:
	case <-ctx.Done():
	}
	d.Runner.StartUnstored(sub, route)
	return true, ErrPrepared
}

// storeUndecided reports whether a failed attempt to store a batch leaves open
// whether the batch is or will be stored.
func storeUndecided(err error) bool {
	return errors.Is(err, keyvalue.ErrUnavailable) || errors.Is(err, keyvalue.ErrRateLimited) ||
		errors.Is(err, keyvalue.ErrOutcomeUnknown) || errors.Is(err, ledger.ErrOutcomeUnknown)
}

// isHome reports whether this instance is the home of a batch, which begins it even
// before it is stored.
func (d *Coordinator) isHome(sub *submission.Submission) bool {
	homes := Homes(d.membersFor(sub.Binding()), d.Registry.Self().Region, homeKey(sub))
	return len(homes) > 0 && homes[0].Name == d.Ledger.Self.Instance
}

// store stores a batch in the background, with retries while the key-value service
// is unavailable, and returns the channel of the result. The channel holds one value:
// a reader puts it back for the next one.
func (d *Coordinator) store(sub *submission.Submission, route catalog.Route) chan error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stored := d.pendingStores[sub.ID]; stored != nil {
		return stored
	}
	if d.pendingStores == nil {
		d.pendingStores = make(map[string]chan error)
	}
	stored := make(chan error, 1)
	d.pendingStores[sub.ID] = stored
	go func() {
		err := d.storeWithRetry(sub, route)
		d.mu.Lock()
		delete(d.pendingStores, sub.ID)
		d.mu.Unlock()
		stored <- err
	}()
	return stored
}

// storeWithRetry tries to store a batch until the outcome is known or the batch is
// no longer wanted.
func (d *Coordinator) storeWithRetry(sub *submission.Submission, route catalog.Route) error {
	started := d.Timer.Now()
	for {
		if err := d.checkHere(sub); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		err := d.Runner.Submit(ctx, sub, route)
		cancel()
		prepared := d.Runner.RunsUnstored(sub.ID)
		if !storeUndecided(err) && !(err == nil && prepared) {
			d.announceAccepted(sub, err)
			return err
		}
		// A submission that waits for this begins the batch after storeWait; a batch that
		// does not run some time after that is no longer wanted.
		if !prepared && d.Timer.Now().Sub(started) > 2*storeWait {
			return err
		}
		timer.Wait(d.Timer, storeRetryPause, nil)
	}
}

// leftToHome reports whether a batch that its home has begun is accepted by now, and
// else whether it is left to the home. It is left if the key-value service does not
// answer here either. If the service answers, it may have come back just now and the
// home is about to store the batch, or only the home is cut off from it.
func (d *Coordinator) leftToHome(ctx context.Context, id string) (accepted, leave bool) {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	_, err := d.Ledger.Find(ctx, id)
	return err == nil, err != nil && !errors.Is(err, ledger.ErrUnknown)
}

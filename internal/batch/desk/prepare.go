package desk

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
	// storePause is the pause between two tries to store a batch that was begun.
	storePause = 150 * time.Millisecond
	// storeWait is how long a submission waits for that. It is shorter than
	// homeTimeout: the instance that passed it on must hear what became of it.
	storeWait = 250 * time.Millisecond
)

// ErrPrepared means that a batch was begun at its home and can't be stored yet. It may
// be stored at any time from now on.
var ErrPrepared = errors.New("the batch was begun and is not stored yet")

// preparedProblem says that a batch that was begun may be stored at any time.
func preparedProblem(err error) *problem.Error {
	return problem.ChangeUnknown.With(err).WithOutcome(problem.Unknown).WithRetryAfter(retryAway)
}

// accept stores a batch and begins it. While the key-value service is away or slow the
// home of the batch begins it all the same, and stores it when it can: a trainer stands
// still without its batch. All others leave it to the home; the first to reach the
// service would make another instance begin anew.
func (d *Desk) accept(ctx context.Context, sub *submission.Submission, route catalog.Route) (prepared bool, err error) {
	if !d.prepares(sub) {
		err = d.Runner.Submit(ctx, sub, route)
		d.settled(sub, err)
		return false, err
	}
	stored := d.store(sub, route)
	wait := d.Timer.Once(storeWait)
	defer wait.Close()
	select {
	case err := <-stored:
		stored <- err
		return open(err) || d.Runner.Prepared(sub.ID), err
	case <-wait.C:
	case <-ctx.Done():
	}
	d.Runner.Prepare(sub, route)
	return true, ErrPrepared
}

// open reports whether a try to store a batch left it open whether it is, or will be.
func open(err error) bool {
	return errors.Is(err, keyvalue.ErrDown) || errors.Is(err, keyvalue.ErrBusy) ||
		errors.Is(err, keyvalue.ErrLost) || errors.Is(err, ledger.ErrUnsettled)
}

// prepares reports whether a batch begins at this instance before it is stored.
func (d *Desk) prepares(sub *submission.Submission) bool {
	homes := Homes(d.Registry.Members(), homeKey(sub))
	return len(homes) > 0 && homes[0].Name == d.Ledger.Self.Instance
}

// store stores a batch, again and again while the service is away. The channel tells
// what came of it, to one reader at a time.
func (d *Desk) store(sub *submission.Submission, route catalog.Route) chan error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stored := d.storing[sub.ID]; stored != nil {
		return stored
	}
	if d.storing == nil {
		d.storing = make(map[string]chan error)
	}
	stored := make(chan error, 1)
	d.storing[sub.ID] = stored
	go func() {
		err := d.keepStoring(sub, route)
		d.mu.Lock()
		delete(d.storing, sub.ID)
		d.mu.Unlock()
		stored <- err
	}()
	return stored
}

// keepStoring tries to store a batch until that is settled, or the batch is not
// wanted any more.
func (d *Desk) keepStoring(sub *submission.Submission, route catalog.Route) error {
	asked := d.Timer.Now()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		err := d.Runner.Submit(ctx, sub, route)
		cancel()
		prepared := d.Runner.Prepared(sub.ID)
		if !open(err) && !(err == nil && prepared) {
			d.settled(sub, err)
			return err
		}
		// It is begun at storeWait; later, one that does not run is not wanted.
		if !prepared && d.Timer.Now().Sub(asked) > 2*storeWait {
			return err
		}
		timer.Wait(d.Timer, storePause, nil)
	}
}

// leftToHome reports whether a batch that its home has begun is left to it. If the service
// answers here it may have come back just now, and the home stores the batch in a
// moment, or the home alone is cut off from it.
func (d *Desk) leftToHome(ctx context.Context, id string) (accepted, leave bool) {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	_, err := d.Ledger.Find(ctx, id)
	return err == nil, err != nil && !errors.Is(err, ledger.ErrUnknown)
}

package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/runner"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

const (
	// endNotifyPause is the pause between two attempts to notify the owner of a batch that
	// was ended in the ledger.
	endNotifyPause = 400 * time.Millisecond
	// adoptTimeout is how long an instance may take to begin a batch after it read that the
	// batch is not ended. Until then it answers that it does not run the batch, although it
	// is about to.
	adoptTimeout = max(sweepTimeout, submitTimeout)
	// endNotifyLimit is how long an owner that does not answer is notified. Its entry in
	// the registry normally ends long before, and it confirms its claim before it sends
	// more items.
	endNotifyLimit = time.Minute
)

// endElsewhere has the remembered owner end a batch. If that fails it ends the batch in the
// ledger and notifies the owner that the ledger named until then, which may be another one: the
// remembered owner may be partitioned, and its batch taken over.
func (d *Coordinator) endElsewhere(ctx context.Context, id string) error {
	if owner, ok := d.remoteOwner(ctx, id); ok {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.Peers.End(call, owner.Address, id)
		cancel()
		if err == nil {
			return nil
		}
		d.forgetOwner(id, owner)
	}
	replaced, err := d.Ledger.End(ctx, id, time.Now())
	if err != nil {
		return err
	}
	if replaced.Owner.Instance != "" {
		go d.notifyEnd(id, replaced.Owner)
	}
	return nil
}

// notifyEnd notifies the owner of a batch that was ended in the ledger, until the owner has
// ended it, is gone, or does not run it. An owner that has just claimed the batch does not know
// it when it is first asked, and would send items to engines until it confirms its claim.
func (d *Coordinator) notifyEnd(id string, owner ledger.Owner) {
	began := d.Timer.Now()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		var err error
		if owner == d.Ledger.Self {
			err = d.Runner.End(ctx, id)
		} else {
			err = d.Peers.End(ctx, owner.Address, id)
		}
		cancel()
		age := d.Timer.Now().Sub(began)
		fields := log.Fields{
			"request_id": id,
			"owner":      owner.Instance,
			"age_ms":     age.Milliseconds(),
		}
		notHere := errors.Is(err, runner.ErrNotRunHere)
		switch {
		case err == nil, notHere && age > adoptTimeout:
			d.Journal.Decision("owner_told_of_end", fields)
			return
		case !notHere && age > adoptTimeout && d.Registry.Synced() && !d.Registry.Alive(owner.Instance, owner.Incarnation),
			age > endNotifyLimit:
			d.Journal.Warn("owner not told of the end of its batch", err, fields)
			return
		}
		timer.Wait(d.Timer, endNotifyPause, nil)
	}
}

package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"
)

// Intervals and timeouts of the removal of ended batches.
const (
	// cleanupInterval is how often ended batches are listed, in a stale listing,
	// which costs a tenth of a fresh one.
	cleanupInterval = time.Minute
	// endedRetention is how long a batch is kept after its end. Its results can be
	// read for two minutes after it was submitted, and the clocks of instances differ
	// by seconds.
	endedRetention = 5 * time.Minute
	// cleanupTimeout bounds one removal of ended batches.
	cleanupTimeout = 20 * time.Second
)

// RunCleanup removes ended batches from the ledger until t dies, while holdsDuty
// reports that this instance holds the duty. Without it the key-value service would
// fill up with all samples ever generated.
func (d *Coordinator) RunCleanup(t *tomb.Tomb, holdsDuty func() bool) error {
	ticks := d.Timer.Every(cleanupInterval)
	defer ticks.Close()
	for {
		select {
		case <-ticks.C:
			if holdsDuty() {
				d.cleanUp(t.Context(context.Background()), time.Now())
			}
		case <-t.Dying():
			return nil
		}
	}
}

// cleanUp removes the ended batches once. It stops at the first failure and leaves the
// rest to the next time.
func (d *Coordinator) cleanUp(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	ended, err := d.Ledger.EndedBatches(ctx)
	if err != nil {
		d.Journal.Warn("ended batches not listed", err, log.Fields{})
		return
	}
	for id, at := range ended {
		if now.Sub(at) < endedRetention {
			continue
		}
		if err := d.Ledger.Delete(ctx, id); err != nil {
			d.Journal.Warn("ended batch not removed", err, log.Fields{
				"request_id": id,
			})
			return
		}
		d.Journal.Decision("forget", log.Fields{
			"request_id": id,
			"ended_s":    int(now.Sub(at).Seconds()),
		})
	}
}

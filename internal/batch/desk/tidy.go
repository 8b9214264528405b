package desk

import (
	"context"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"
)

// The times of tidying.
const (
	// tidyEvery is how often ended batches are looked through, in a listing
	// that costs a tenth.
	tidyEvery = time.Minute
	// keepEnded is how long a batch stays after its end: its results can be read
	// for two minutes after it was handed in, and times of day differ by seconds.
	keepEnded = 5 * time.Minute
	// tidyTimeout bounds one round.
	tidyTimeout = 20 * time.Second
)

// Tidy removes ended batches from the ledger until t dies, while this instance
// is the one that does. Without it the key-value service would fill up with
// every sample that was ever made.
func (d *Desk) Tidy(t *tomb.Tomb, does func() bool) error {
	sub := d.Timer.Every(tidyEvery)
	defer sub.Close()
	for {
		select {
		case <-sub.C:
			if does() {
				d.tidy(t.Context(context.Background()), time.Now())
			}
		case <-t.Dying():
			return nil
		}
	}
}

// tidy makes one round. What fails is left for the next one.
func (d *Desk) tidy(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, tidyTimeout)
	defer cancel()
	ended, err := d.Ledger.Ended(ctx)
	if err != nil {
		d.Journal.Trouble("ended batches not read", err, log.Fields{})
		return
	}
	for id, at := range ended {
		if now.Sub(at) < keepEnded {
			continue
		}
		if err := d.Ledger.Forget(ctx, id); err != nil {
			d.Journal.Trouble("batch not forgotten", err, log.Fields{
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

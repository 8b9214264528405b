package coordinator

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// evacuatedRetryAfter tells trainers when to retry while all failure domains with engines for
// their batch are evacuated, until an operator takes one back.
const evacuatedRetryAfter = 2 * time.Second

func noUpstreamProblem() *problem.Error {
	return problem.NoUpstream.Withf("all failure domains with engines for the batch are evacuated").WithRetryAfter(evacuatedRetryAfter)
}

// refuseEvacuated returns the error for a new batch if all failure domains with engines for it
// are evacuated, and nil if it is to be accepted. A batch that was accepted before is not
// refused: its trainer would be told that it has not run.
func (d *Coordinator) refuseEvacuated(ctx context.Context, sub *submission.Submission, route catalog.Route) error {
	if d.Evacuated == nil {
		return nil
	}
	domains := d.Evacuated(route)
	if len(domains) == 0 || d.begins(sub.ID) {
		return nil
	}
	if _, err := d.Ledger.Load(ctx, sub.ID); err == nil {
		return nil
	} else if !errors.Is(err, ledger.ErrUnknown) {
		return submitProblem(ledger.ErrOutcomeUnknown)
	}
	e := noUpstreamProblem()
	d.Journal.Decision("refuse_batch", log.Fields{
		"request_id": sub.ID,
		"items":      len(sub.Items),
		"outcome":    e.Kind.Code,
		"evacuated":  strings.Join(domains, ", "),
	})
	return e
}

// begins reports whether this instance runs a batch or is storing it.
func (d *Coordinator) begins(id string) bool {
	d.mu.Lock()
	storing := d.pendingStores[id] != nil
	d.mu.Unlock()
	return storing || d.Runner.RunsUnstored(id)
}

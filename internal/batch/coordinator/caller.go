package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/runner"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// Caller makes calls about batches under the IDs that their submitters gave them.
type Caller struct {
	coordinator *Coordinator
	// organisation is that of the caller's key; empty without a key.
	organisation string
}

// For returns the Caller of an organisation, or of callers without a key if it is empty.
func (d *Coordinator) For(organisation string) Caller {
	return Caller{
		coordinator:  d,
		organisation: organisation,
	}
}

// Read returns the results of a batch as Coordinator.Read does.
func (c Caller) Read(ctx context.Context, id string, after int, wait time.Duration) (page runner.Page, err error) {
	err = c.find(ctx, id, func(name string) error {
		page, err = c.coordinator.Read(ctx, name, after, wait)
		return err
	})
	return page, err
}

// Body returns the body of an item as Coordinator.Body does.
func (c Caller) Body(ctx context.Context, id, item string) (body []byte, err error) {
	err = c.find(ctx, id, func(name string) error {
		body, err = c.coordinator.Body(ctx, name, item)
		return err
	})
	return body, err
}

// End ends a batch as Coordinator.End does.
func (c Caller) End(ctx context.Context, id string) error {
	return c.find(ctx, id, func(name string) error { return c.coordinator.End(ctx, name) })
}

// find calls do with each name that a batch of the caller may have, until one is known. An
// organisation finds its own batches, and those that were submitted without a key: on a public
// route, or before there were organisations. Once there are none any more, all callers are alike
// and find the batches that organisations submitted.
func (c Caller) find(ctx context.Context, id string, do func(name string) error) error {
	err := do(submission.ScopedID(id, c.organisation))
	if !errors.Is(err, ledger.ErrUnknown) {
		return err
	}
	if c.organisation != "" {
		return do(id)
	}
	if cfg := c.coordinator.Config.Current(); cfg != nil && !cfg.Organisations.Empty() {
		return problem.Unauthorized.Withf("no batch %s was submitted without a key: %w", id, err)
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	name, findErr := c.coordinator.Ledger.FindScoped(ctx, id)
	switch {
	case errors.Is(findErr, ledger.ErrUnknown):
		return err
	case findErr != nil:
		return problem.PlatformDown.Withf("batch %s: %w", id, findErr).WithRetryAfter(readRetryAfter)
	}
	return do(name)
}

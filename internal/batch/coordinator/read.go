package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/runner"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// readLocal returns results of a batch that runs at this instance. It returns
// runner.ErrNotRunHere if the batch does not run here or may have been lost to another
// instance.
func (d *Coordinator) readLocal(ctx context.Context, id string, after int, wait time.Duration) (runner.Page, error) {
	page, err := d.Runner.Read(ctx, id, after, wait)
	if err == nil && len(page.Results) == 0 && (d.claimsUncertain.Load() || !d.Registry.LeaseHeld()) {
		// This instance may have lost the batch, and the new owner may have listed
		// more results.
		err = runner.ErrNotRunHere
	}
	return page, err
}

// Read returns the results of a batch from position after on. It waits up to wait for
// the first one.
func (d *Coordinator) Read(ctx context.Context, id string, after int, wait time.Duration) (runner.Page, error) {
	began := d.Timer.Now()
	page, way, err := d.read(ctx, id, after, wait)
	fields := log.Fields{
		"request_id": id,
		"after":      after,
		"way":        way,
		"results":    len(page.Results),
		"next":       page.Next,
		"of":         page.Total,
		"wait_ms":    wait.Milliseconds(),
		"took_ms":    d.Timer.Now().Sub(began).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	d.Journal.Decision("read", fields)
	return page, err
}

// Where the results of a read came from, as the field "way" of the log line names it.
const (
	wayHere   = "here"
	wayOwner  = "owner"
	wayReader = "reader"
	wayLedger = "ledger"
)

// read returns results and where they came from. It tries this instance, the hinted
// owner, the ledger reader and the ledger, each if the one before failed.
func (d *Coordinator) read(ctx context.Context, id string, after int, wait time.Duration) (runner.Page, string, error) {
	page, err := d.readLocal(ctx, id, after, wait)
	if !errors.Is(err, runner.ErrNotRunHere) {
		return page, wayHere, err
	}
	if owner, ok := d.hintedOwner(id); ok {
		call, cancel := context.WithTimeout(ctx, wait+callTimeout)
		page, err = d.Peers.Read(call, owner.Address, id, after, wait)
		cancel()
		if err == nil {
			return page, wayOwner, nil
		}
		d.forgetOwner(id, owner)
	}
	if reader, ok := d.ledgerReader(ctx, id); ok {
		call, cancel := context.WithTimeout(ctx, ledgerReaderTimeout)
		page, _, _, err := d.Peers.Stored(call, reader.PeerAddress, id, "", after)
		cancel()
		if err == nil {
			return page, wayReader, nil
		}
	}
	page, err = d.readStored(ctx, id, after)
	return page, wayLedger, err
}

// readStored reads results from the owner that the ledger names, or else from the
// ledger itself.
func (d *Coordinator) readStored(ctx context.Context, id string, after int) (runner.Page, error) {
	if rec := d.finished.get(id); rec != nil {
		return pageOf(rec, after), nil
	}
	if owner, ok := d.remoteOwner(ctx, id); ok {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := d.Peers.Read(call, owner.Address, id, after, 0)
		cancel()
		if err == nil {
			return page, nil
		}
		d.forgetOwner(id, owner)
	}
	rec, err := d.load(ctx, id)
	if err != nil {
		return runner.Page{}, err
	}
	return pageOf(rec, after), nil
}

func pageOf(rec *ledger.Record, after int) runner.Page {
	return runner.NewPage(len(rec.Submission.Items), rec.Results, after)
}

// ledgerReader returns the instance that reads a batch from the ledger on behalf of
// all, if it is another one in an allowed region. The pages of a batch are read at different instances,
// and without it each of them would list the whole batch.
func (d *Coordinator) ledgerReader(ctx context.Context, id string) (registry.Member, bool) {
	members := d.Registry.Members()
	if d.Config.Current().Restricted() {
		binding, ok := d.bindingOf(ctx, id)
		if !ok {
			return registry.Member{}, false
		}
		members = d.membersFor(binding)
	}
	m := FirstRanked(members, id)
	return m, m.Name != "" && m.Name != d.Ledger.Self.Instance
}

// load reads a batch from the ledger, or from the cache of finished batches: a
// trainer reads page after page, and each would cost a listing. A listing goes on after
// its caller has given up, and callers that ask meanwhile share it: one of a large batch
// takes longer than callers wait, and if each of them began anew, none would be answered.
func (d *Coordinator) load(ctx context.Context, id string) (*ledger.Record, error) {
	if rec := d.finished.get(id); rec != nil {
		return rec, nil
	}
	loaded := d.loads.DoChan(id, func() (any, error) { return d.loadStored(context.WithoutCancel(ctx), id) })
	select {
	case r := <-loaded:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*ledger.Record), nil
	case <-ctx.Done():
		return nil, problem.PlatformDown.Withf("batch %s is still being read: %w", id, ctx.Err()).WithRetryAfter(readRetryAfter)
	}
}

// loadStored reads a batch from the ledger and keeps it in the cache if it is finished.
func (d *Coordinator) loadStored(ctx context.Context, id string) (*ledger.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	rec, err := d.Ledger.Load(ctx, id)
	if errors.Is(err, ledger.ErrUnknown) {
		return nil, problem.NotFound.Withf("batch %s: %w", id, err)
	}
	if err != nil {
		return nil, problem.PlatformDown.Withf("batch %s: %w", id, err).WithRetryAfter(readRetryAfter)
	}
	if d.AllowedHere(rec.Submission.Binding()) && (rec.Ended || len(rec.Results) >= len(rec.Submission.Items)) {
		d.finished.add(id, rec)
	}
	return rec, nil
}

// Body returns the body of an item whose result is not listed yet.
func (d *Coordinator) Body(ctx context.Context, id, item string) ([]byte, error) {
	body, ok, err := d.Runner.Body(id, item)
	if errors.Is(err, runner.ErrNotRunHere) {
		body, ok, err = d.bodyElsewhere(ctx, id, item)
	}
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, problem.NotFound.Withf("batch %s has no unlisted item %s", id, item)
	}
	return body, nil
}

func (d *Coordinator) bodyElsewhere(ctx context.Context, id, item string) ([]byte, bool, error) {
	if owner, ok := d.hintedOwner(id); ok {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		body, ok, err := d.Peers.Body(call, owner.Address, id, item)
		cancel()
		if err == nil {
			return body, ok, nil
		}
	}
	if reader, ok := d.ledgerReader(ctx, id); ok {
		call, cancel := context.WithTimeout(ctx, ledgerReaderTimeout)
		_, body, ok, err := d.Peers.Stored(call, reader.PeerAddress, id, item, 0)
		cancel()
		if err == nil {
			return body, ok, nil
		}
	}
	return d.bodyStored(ctx, id, item)
}

// bodyStored reads the body of an item from the owner that the ledger names, or else
// from the ledger itself.
func (d *Coordinator) bodyStored(ctx context.Context, id, item string) ([]byte, bool, error) {
	if d.finished.get(id) == nil {
		if owner, ok := d.remoteOwner(ctx, id); ok {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			body, ok, err := d.Peers.Body(call, owner.Address, id, item)
			cancel()
			if err == nil {
				return body, ok, nil
			}
		}
	}
	rec, err := d.load(ctx, id)
	if err != nil {
		return nil, false, err
	}
	body, ok := runner.UnlistedBody(rec.Submission, rec.Results, item)
	return body, ok, nil
}

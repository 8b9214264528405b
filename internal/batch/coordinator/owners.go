package coordinator

import (
	"context"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
)

// OwnerHint names the owner of a batch. For a batch that was just accepted it also has
// the model, the number of items and the amount of work.
type OwnerHint struct {
	Batch string
	Owner ledger.Owner
	Model string
	Items int
	Work  int64
	// Binding determines the regions of the batch; it is left out while no route or
	// organisation is restricted to regions.
	Binding submission.Binding
	// Refused says that the batch has no owner because no engine in its regions can run it.
	Refused bool
}

// announceOwner tells all instances the owner of a batch, so that a read at any of
// them needs no call to the key-value service.
func (d *Coordinator) announceOwner(hint OwnerHint) {
	if !d.Config.Current().Restricted() {
		hint.Binding = submission.Binding{}
	}
	d.RecordOwner(hint)
	d.sendHint(hint)
}

// sendHint sends a hint to all other instances.
func (d *Coordinator) sendHint(hint OwnerHint) {
	for _, m := range d.Registry.Members() {
		if m.Name == d.Registry.Self().Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), hintTimeout)
			defer cancel()
			if err := d.Peers.Hint(ctx, m.PeerAddress, hint); err != nil {
				d.Journal.Debug("owner hint not delivered", log.Fields{
					"request_id": hint.Batch,
					"instance":   m.Name,
					"error":      err.Error(),
				})
			}
		}()
	}
}

// RecordOwner records the owner of a batch, if it has one, and the demand of a new batch.
func (d *Coordinator) RecordOwner(hint OwnerHint) {
	if hint.Model != "" && d.OnAccepted != nil {
		d.OnAccepted(hint)
	}
	if hint.Refused {
		return
	}
	d.recordBinding(hint.Batch, hint.Binding)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owners.set(hint.Batch, hint.Owner, d.Timer.Now())
}

func (d *Coordinator) forgetOwner(id string, owner ledger.Owner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, _ := d.owners.get(id, d.Timer.Now()); known == owner {
		d.owners.remove(id)
	}
}

// hintedOwner returns the owner of a batch that was recorded by RecordOwner, if it is
// another instance and alive.
func (d *Coordinator) hintedOwner(id string) (ledger.Owner, bool) {
	d.mu.Lock()
	owner, ok := d.owners.get(id, d.Timer.Now())
	d.mu.Unlock()
	return owner, ok && owner != d.Ledger.Self && d.Registry.Alive(owner.Instance, owner.Incarnation)
}

// findOwner returns the owner of a batch, as recorded by RecordOwner or else from the
// ledger. It returns ledger.ErrUnknown if the batch is not open.
func (d *Coordinator) findOwner(ctx context.Context, id string) (ledger.Owner, error) {
	if owner, ok := d.hintedOwner(id); ok {
		return owner, nil
	}
	claim, err := d.Ledger.Find(ctx, id)
	if err != nil {
		return ledger.Owner{}, err
	}
	d.RecordOwner(OwnerHint{
		Batch:   id,
		Owner:   claim.Owner,
		Binding: claim.Binding,
	})
	return claim.Owner, nil
}

// remoteOwner returns the owner of a batch if it is another instance.
func (d *Coordinator) remoteOwner(ctx context.Context, id string) (ledger.Owner, bool) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	owner, err := d.findOwner(ctx, id)
	return owner, err == nil && owner != d.Ledger.Self
}

package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Owner identifies a process that runs batches.
type Owner struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

// Claim is an open batch and its owner, as of a revision of the stored owner.
type Claim struct {
	Batch    string
	Owner    Owner
	Revision uint64
	// Binding determines the regions of the batch.
	Binding submission.Binding
	// Chunks is the number of chunks of results that the holder of the claim has written
	// or read.
	Chunks int
	// AlreadyAccepted reports that Accept found the batch in the ledger, accepted by this
	// process before, so that results may be stored already.
	AlreadyAccepted bool
}

// storedClaim is the stored form of a claim.
type storedClaim struct {
	Owner
	Binding submission.Binding `json:"binding"`
}

// encodeClaim returns the stored form of the claim of an owner.
func encodeClaim(owner Owner, binding submission.Binding) ([]byte, error) {
	return json.Marshal(storedClaim{
		Owner:   owner,
		Binding: binding,
	})
}

// claimIfOurs returns the claim on a stored batch if its owner is this process, and
// ErrExists otherwise. item is the stored owner.
func (l *Ledger) claimIfOurs(item keyvalue.Item, id string) (Claim, error) {
	var stored storedClaim
	if item.Revision == 0 || json.Unmarshal(item.Value, &stored) != nil || stored.Owner != l.Self {
		return Claim{}, ErrExists
	}
	return Claim{
		Batch:           id,
		Owner:           stored.Owner,
		Revision:        item.Revision,
		Binding:         stored.Binding,
		AlreadyAccepted: true,
	}, nil
}

// Confirm returns ErrFenced if the batch of a claim has another owner or is ended.
func (l *Ledger) Confirm(ctx context.Context, c Claim) error {
	found, err := l.Find(ctx, c.Batch)
	if errors.Is(err, ErrUnknown) || err == nil && found.Revision != c.Revision {
		return ErrFenced
	}
	return err
}

// Find returns the claim on an open batch, or ErrUnknown.
func (l *Ledger) Find(ctx context.Context, id string) (Claim, error) {
	item, err := l.Store.Get(ctx, openPrefix+id)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return Claim{}, ErrUnknown
	}
	if err != nil {
		return Claim{}, err
	}
	return decodeClaim(item)
}

func decodeClaim(item keyvalue.Item) (Claim, error) {
	c := Claim{
		Batch:    strings.TrimPrefix(item.Key, openPrefix),
		Revision: item.Revision,
	}
	var stored storedClaim
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		return c, fmt.Errorf("%w: claim on batch %.80q: %w", ErrUnreadable, c.Batch, err)
	}
	c.Owner, c.Binding = stored.Owner, stored.Binding
	if c.Binding.Host == "" {
		c.Binding = submission.IDBinding(c.Batch)
	}
	return c, nil
}

// OpenBatches lists the open batches. It leaves out entries that can't be read.
func (l *Ledger) OpenBatches(ctx context.Context, consistency keyvalue.Consistency) ([]Claim, error) {
	listing, err := l.Store.Range(ctx, openPrefix, consistency)
	if err != nil {
		return nil, err
	}
	var claims []Claim
	for _, item := range listing.Items {
		c, err := decodeClaim(item)
		l.logUnreadable(item.Key, err)
		if err == nil {
			claims = append(claims, c)
		}
	}
	return claims, nil
}

// TakeOver makes this process the owner of an open batch if its claim is still the one
// in seen, and if livenessKey, the key that the old owner keeps while it is alive, does
// not exist; the latter is not checked if livenessKey is empty. Otherwise it returns
// ErrFenced. The check is needed because a caller with an outdated view may take a live
// owner for dead, and that owner would go on answering reads without the results of the
// new one.
func (l *Ledger) TakeOver(ctx context.Context, seen Claim, livenessKey string) (Claim, error) {
	owner, err := encodeClaim(l.Self, seen.Binding)
	if err != nil {
		return Claim{}, err
	}
	expects := []keyvalue.Condition{
		{Key: openPrefix + seen.Batch, Revision: seen.Revision},
	}
	if livenessKey != "" {
		expects = append(expects, keyvalue.Condition{
			Key: livenessKey,
		})
	}
	rev, err := l.Store.Commit(ctx, keyvalue.Transaction{
		Expects: expects,
		Writes: []keyvalue.Write{
			{Key: openPrefix + seen.Batch, Value: owner},
		},
	})
	if errors.Is(err, keyvalue.ErrConflict) {
		return Claim{}, ErrFenced
	}
	return Claim{
		Batch:    seen.Batch,
		Owner:    l.Self,
		Revision: rev,
		Binding:  seen.Binding,
	}, err
}

package configuration

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// readBackInterval is the time between attempts to find out whether a change was
// accepted after the answer to its write was lost.
const readBackInterval = 200 * time.Millisecond

// Editor changes the configuration in the key-value service.
type Editor struct {
	Store  keyvalue.Store
	Holder *Holder
	Timer  timer.Service
	// Push sends an accepted document to peers before the operator gets the answer.
	// If it is nil, nothing is sent.
	Push func(ctx context.Context, d *Document)
}

// Put replaces the configuration if its revision is still change.Parent. It returns
// the accepted document, or an error of kind Conflict, ChangeUnknown, PlatformDown
// or BadRequest. Repeating a change that was accepted returns its revision again.
func (e *Editor) Put(ctx context.Context, change Change, configuration []byte) (*Document, error) {
	if _, err := Parse(configuration); err != nil {
		return nil, problem.BadRequest.With(err)
	}
	current, err := e.readStored(ctx)
	if err != nil {
		return nil, problem.PlatformDown.With(err)
	}
	if rev, ok := current.AcceptedRevision(change.ID); ok {
		return e.applyAccepted(ctx, current, rev)
	}
	if current.Revision != change.Parent {
		return nil, conflictError(change, current)
	}
	value, err := current.WithChange(change, configuration).Encode()
	if err != nil {
		return nil, problem.BadRequest.With(err)
	}
	return e.compareAndSwap(ctx, change, value)
}

// compareAndSwap writes value if the stored revision is change.Parent. If the outcome
// is unknown, it reads the document back: either the history contains the change,
// or the revision has advanced without it, or the same write is repeated. The
// write expects one revision, so repeating it cannot apply the change twice.
func (e *Editor) compareAndSwap(ctx context.Context, change Change, value []byte) (*Document, error) {
	sent := false
	for {
		rev, err := e.Store.Put(ctx, Key, value, change.Parent, 0)
		if err == nil {
			return e.applyWritten(ctx, value, rev)
		}
		if errors.Is(err, keyvalue.ErrUnavailable) && !sent {
			return nil, problem.PlatformDown.With(err)
		}
		sent = sent || !errors.Is(err, keyvalue.ErrConflict)
		doc, settled, readErr := e.readOutcome(ctx, change)
		if settled {
			return doc, readErr
		}
		if !timer.Wait(e.Timer, readBackInterval, ctx.Done()) {
			return nil, problem.ChangeUnknown.Withf("change %s: %w", change.ID, err)
		}
	}
}

// readOutcome reads the document back to find out whether a change was accepted. It
// reports false while that is not settled.
func (e *Editor) readOutcome(ctx context.Context, change Change) (*Document, bool, error) {
	current, err := e.readStored(ctx)
	if err != nil || current.Revision < change.Parent {
		return nil, false, nil
	}
	if rev, ok := current.AcceptedRevision(change.ID); ok {
		doc, err := e.applyAccepted(ctx, current, rev)
		return doc, true, err
	}
	if current.Revision == change.Parent {
		return nil, false, nil
	}
	return nil, true, conflictError(change, current)
}

// FindChange returns the revision that a change created. It fails with ChangeUnknown if the
// change may still take effect, and with Conflict if it no longer can.
func (e *Editor) FindChange(ctx context.Context, change Change) (uint64, error) {
	current, err := e.readStored(ctx)
	if err != nil {
		return 0, problem.ChangeUnknown.With(err)
	}
	if rev, ok := current.AcceptedRevision(change.ID); ok {
		return rev, nil
	}
	// At or below the parent revision the outcome is open: the write may still
	// arrive, or the service answered with an older revision.
	if current.Revision <= change.Parent {
		return 0, problem.ChangeUnknown.Withf("change %s is not in force yet, and its write may still arrive", change.ID)
	}
	return 0, conflictError(change, current)
}

// History returns the accepted changes, newest first.
func (e *Editor) History(ctx context.Context) ([]Change, error) {
	current, err := e.readStored(ctx)
	if err != nil {
		return nil, problem.PlatformDown.With(err)
	}
	return current.History, nil
}

// applyWritten puts a document that was just stored in force here and on peers.
func (e *Editor) applyWritten(ctx context.Context, value []byte, rev uint64) (*Document, error) {
	doc, err := Decode(value, rev)
	if err != nil {
		return nil, problem.Internal.With(err)
	}
	e.Holder.Update(doc)
	if e.Push != nil {
		e.Push(ctx, doc)
	}
	return doc, nil
}

// applyAccepted puts the current document in force here and on peers, and returns a
// copy with the revision of a change in its history. Later changes may follow that
// one, so the two revisions can differ.
func (e *Editor) applyAccepted(ctx context.Context, current *Document, rev uint64) (*Document, error) {
	e.Holder.Update(current)
	if e.Push != nil {
		e.Push(ctx, current)
	}
	answer := *current
	answer.Revision = rev
	return &answer, nil
}

// readStored returns the stored document, or an empty one if there is none. It fails if
// the service answers with an older revision than the one in force here.
func (e *Editor) readStored(ctx context.Context) (*Document, error) {
	item, err := e.Store.Get(ctx, Key)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return &Document{}, nil
	}
	if err != nil {
		return nil, err
	}
	doc, err := Decode(item.Value, item.Revision)
	if err != nil {
		return nil, err
	}
	if known := e.Holder.Revision(); known > doc.Revision {
		return nil, fmt.Errorf("the key-value service answered with revision %d, but revision %d is already in force", doc.Revision, known)
	}
	return doc, nil
}

func conflictError(change Change, current *Document) error {
	return problem.Conflict.Withf("the change is based on revision %d, but revision %d is in force", change.Parent, current.Revision)
}

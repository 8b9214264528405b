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

// resolvePause is the time between two looks for a change whose answer was lost.
const resolvePause = 200 * time.Millisecond

// Editor changes the configuration.
type Editor struct {
	Store  keyvalue.Store
	Holder *Holder
	Timer  timer.Service
	// Push hands an accepted document to peers before the operator hears of
	// it; nil pushes to nobody.
	Push func(ctx context.Context, d *Document)
}

// Put makes a change to the configuration that stood at change.Parent. It
// returns the accepted document, or an error of kind Conflict, ChangeUnknown,
// PlatformDown or BadRequest.
func (e *Editor) Put(ctx context.Context, change Change, configuration []byte) (*Document, error) {
	if _, err := Parse(configuration); err != nil {
		return nil, problem.BadRequest.With(err)
	}
	current, err := e.read(ctx)
	if err != nil {
		return nil, problem.PlatformDown.With(err)
	}
	if rev, ok := current.Accepted(change.ID); ok {
		return e.accepted(ctx, current, rev)
	}
	if current.Revision != change.Parent {
		return nil, conflict(change, current)
	}
	value, err := current.With(change, configuration).Encode()
	if err != nil {
		return nil, problem.BadRequest.With(err)
	}
	return e.swap(ctx, change, value)
}

// swap writes value and settles what became of it. A lost answer is settled by
// reading back: the change is in the history, or the revision moved on without
// it, or the same swap is tried again. The swap expects one revision, so trying
// it again can't apply the change twice.
func (e *Editor) swap(ctx context.Context, change Change, value []byte) (*Document, error) {
	sent := false
	for {
		rev, err := e.Store.Put(ctx, Key, value, change.Parent, 0)
		if err == nil {
			return e.accept(ctx, value, rev)
		}
		if errors.Is(err, keyvalue.ErrDown) && !sent {
			return nil, problem.PlatformDown.With(err)
		}
		sent = sent || !errors.Is(err, keyvalue.ErrConflict)
		doc, settled, readErr := e.settle(ctx, change)
		if settled {
			return doc, readErr
		}
		if !timer.Wait(e.Timer, resolvePause, ctx.Done()) {
			return nil, problem.ChangeUnknown.Withf("change %s: %w", change.ID, err)
		}
	}
}

// settle reads back whether a change was accepted.
func (e *Editor) settle(ctx context.Context, change Change) (*Document, bool, error) {
	current, err := e.read(ctx)
	if err != nil || current.Revision < change.Parent {
		return nil, false, nil
	}
	if rev, ok := current.Accepted(change.ID); ok {
		doc, err := e.accepted(ctx, current, rev)
		return doc, true, err
	}
	if current.Revision == change.Parent {
		return nil, false, nil
	}
	return nil, true, conflict(change, current)
}

// Find tells what became of a change: the revision that it made, or whether it
// can still take effect.
func (e *Editor) Find(ctx context.Context, change Change) (uint64, error) {
	current, err := e.read(ctx)
	if err != nil {
		return 0, problem.ChangeUnknown.With(err)
	}
	if rev, ok := current.Accepted(change.ID); ok {
		return rev, nil
	}
	// At or before the revision that it was made from, nothing is settled: the
	// write may still arrive, or the service answered with an older revision.
	if current.Revision <= change.Parent {
		return 0, problem.ChangeUnknown.Withf("change %s is not in force yet, and its write may still arrive", change.ID)
	}
	return 0, conflict(change, current)
}

// History returns the accepted changes, newest first.
func (e *Editor) History(ctx context.Context) ([]Change, error) {
	current, err := e.read(ctx)
	if err != nil {
		return nil, problem.PlatformDown.With(err)
	}
	return current.History, nil
}

func (e *Editor) accept(ctx context.Context, value []byte, rev uint64) (*Document, error) {
	doc, err := Decode(value, rev)
	if err != nil {
		return nil, problem.Internal.With(err)
	}
	e.Holder.Take(doc)
	if e.Push != nil {
		e.Push(ctx, doc)
	}
	return doc, nil
}

// accepted answers for a change that is found in the history, which may have
// later ones above it.
func (e *Editor) accepted(ctx context.Context, current *Document, rev uint64) (*Document, error) {
	e.Holder.Take(current)
	if e.Push != nil {
		e.Push(ctx, current)
	}
	answer := *current
	answer.Revision = rev
	return &answer, nil
}

func (e *Editor) read(ctx context.Context) (*Document, error) {
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
		return nil, fmt.Errorf("the key-value service answered with revision %d, but %d was accepted", doc.Revision, known)
	}
	return doc, nil
}

func conflict(change Change, current *Document) error {
	return problem.Conflict.Withf("the change was made from revision %d, but revision %d is in force", change.Parent, current.Revision)
}

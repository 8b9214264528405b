package runner

import (
	"context"
	"maps"
	"slices"

	"github.com/egretbend/egretbend/internal/batch/standby"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// CopyFinder finds the copy of the results and texts that an earlier owner of a
// batch had.
type CopyFinder interface {
	Find(ctx context.Context, batch string) standby.Copy
}

// Busy implements standby.Work.
func (r *Runner) Busy() bool {
	return slices.ContainsFunc(r.allBatches(), func(b *Batch) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.replicated()
	})
}

// allBatches returns the batches that are in memory.
func (r *Runner) allBatches() []*Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.batches))
}

// replicated reports whether successors hold a copy of the batch: until it is
// over or all of its results are listed, or, if it is handed over, until its next
// owner has it. The caller holds b.mu.
func (b *Batch) replicated() bool {
	return b.handingOver || !b.over() && (b.open > 0 || len(b.pending) > 0)
}

// Changes implements standby.Work.
func (r *Runner) Changes(since standby.Marks, skip func(string) bool) (open []string, deltas []standby.BatchDelta, updated standby.Marks) {
	batches := r.allBatches()
	updated = make(standby.Marks, len(batches))
	for _, b := range batches {
		b.mu.Lock()
		if b.replicated() && (skip == nil || !skip(b.sub.ID)) {
			open = append(open, b.sub.ID)
			delta, marks := b.changesSince(since[b.sub.ID])
			updated[b.sub.ID] = marks
			if delta.Whole || len(delta.Pieces) > 0 {
				deltas = append(deltas, delta)
			}
		}
		b.mu.Unlock()
	}
	return open, deltas, updated
}

// changesSince returns what has changed since the given marks, and the marks of a
// receiver that has these changes. The caller holds b.mu.
func (b *Batch) changesSince(since map[string]standby.Mark) (standby.BatchDelta, map[string]standby.Mark) {
	d := standby.BatchDelta{
		Batch: b.sub.ID,
		Whole: since == nil,
	}
	if d.Whole {
		d.Binding = b.sub.Binding()
	}
	marks := make(map[string]standby.Mark, len(b.tasks))
	for id, t := range b.tasks {
		was := since[id]
		mark := was.Of(t.text)
		switch {
		case t.phase == finished:
			marks[id] = standby.Mark{
				Text:   t.text,
				Result: true,
			}
			if !mark.Result && !t.stored {
				d.Pieces = append(d.Pieces, t.resultPiece(mark.Events))
			}
		case t.lastEvent > 0 || t.failures > 0 || was.Events > 0:
			marks[id] = standby.Mark{
				Text:   t.text,
				Events: t.lastEvent,
			}
			// A text that was dropped is replaced even if nothing of the next one is there.
			if mark.Events < t.lastEvent || t.failures > 0 || was.Events > 0 && was.Text != t.text {
				d.Pieces = append(d.Pieces, standby.ItemDelta{
					Item:     id,
					Text:     t.text,
					From:     mark.Events,
					Events:   slices.Clone(t.events[mark.Events:]),
					Versions: slices.Clone(t.versions),
					Failures: t.failures,
				})
			}
		}
	}
	return d, marks
}

// resultPiece returns the result of a finished item for a receiver that has the
// first mark events of its text. Where the events are known here, those that the
// receiver lacks are sent in place of the text.
func (t *task) resultPiece(mark int) standby.ItemDelta {
	end := *t.final
	p := standby.ItemDelta{
		Item:   t.item.ID,
		Text:   t.text,
		Result: &end,
	}
	if len(t.events) > 0 && end.State == submission.Completed {
		end.Text = ""
		p.From = min(mark, len(t.events))
		p.Events = slices.Clone(t.events[p.From:])
	}
	return p
}

// restoreResults takes the results that an earlier owner had finished but not
// stored, and returns how many of them were used. The caller holds b.mu.
func (b *Batch) restoreResults(results []submission.Result, now timer.Instant) int {
	n := 0
	for _, res := range results {
		if t := b.tasks[res.Item]; t != nil && t.phase != finished {
			// The events that are known may cover only a part of the text.
			t.events = nil
			b.finish(t, res, now)
			n++
		}
	}
	if n > 0 {
		b.queue = slices.DeleteFunc(b.queue, func(t *task) bool { return t.phase == finished })
	}
	return n
}

// mergeProgress returns the longer text of each item, and the larger number of
// its failures.
func mergeProgress(stored, copied []submission.Progress) []submission.Progress {
	longest := make(map[string]submission.Progress, len(stored)+len(copied))
	for _, list := range [][]submission.Progress{stored, copied} {
		for _, p := range list {
			old := longest[p.Item]
			p.Failures = max(p.Failures, old.Failures)
			if len(p.Events) <= len(old.Events) {
				p.Events, p.Versions = old.Events, old.Versions
			}
			longest[p.Item] = p
		}
	}
	list := make([]submission.Progress, 0, len(longest))
	for _, p := range longest {
		list = append(list, p)
	}
	return list
}

package runner

import (
	"context"
	"maps"
	"slices"

	"github.com/egretbend/egretbend/internal/batch/standby"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Copies finds what an earlier owner had made of a batch.
type Copies interface {
	Find(ctx context.Context, batch string) standby.Copy
}

// Busy implements standby.Work.
func (r *Runner) Busy() bool {
	return slices.ContainsFunc(r.all(), func(b *Batch) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.copies()
	})
}

// all returns the batches that are in memory.
func (r *Runner) all() []*Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.batches))
}

// copies reports whether successors hold a copy of the batch: until it is over, or its
// next owner has it. The lock is held.
func (b *Batch) copies() bool {
	return b.handing || !b.over() && (b.open > 0 || len(b.pending) > 0)
}

// Changes implements standby.Work.
func (r *Runner) Changes(had standby.Marks) (open []string, news []standby.Delta, has standby.Marks) {
	batches := r.all()
	has = make(standby.Marks, len(batches))
	for _, b := range batches {
		b.mu.Lock()
		if b.copies() {
			open = append(open, b.sub.ID)
			delta, marks := b.changes(had[b.sub.ID])
			has[b.sub.ID] = marks
			if delta.Whole || len(delta.Pieces) > 0 {
				news = append(news, delta)
			}
		}
		b.mu.Unlock()
	}
	return open, news, has
}

// changes returns what is new since the marks, and the marks with it. The lock is
// held.
func (b *Batch) changes(had map[string]int) (standby.Delta, map[string]int) {
	d := standby.Delta{
		Batch: b.sub.ID,
		Whole: had == nil,
	}
	marks := make(map[string]int, len(b.tasks))
	for id, t := range b.tasks {
		mark, known := had[id]
		switch {
		case t.phase == finished:
			marks[id] = standby.Done
			if mark != standby.Done && !t.stored {
				d.Pieces = append(d.Pieces, t.endPiece(mark))
			}
		case t.last > 0 || t.failures > 0 || known && mark > 0:
			if mark > t.last || mark < 0 {
				// The text begins anew.
				mark = 0
			}
			marks[id] = t.last
			if mark < t.last || had[id] > t.last || t.failures > 0 {
				d.Pieces = append(d.Pieces, standby.Piece{
					Item:     id,
					From:     mark,
					Events:   slices.Clone(t.events[mark:]),
					Versions: slices.Clone(t.versions),
					Failures: t.failures,
				})
			}
		}
	}
	return d, marks
}

// endPiece is the end of a finished item for one that has some of its events. Its text
// goes along as the events that are missing there.
func (t *task) endPiece(mark int) standby.Piece {
	end := *t.end
	p := standby.Piece{
		Item:   t.item.ID,
		Result: &end,
	}
	if len(t.events) > 0 && end.State == submission.Completed {
		end.Text = ""
		p.From = min(mark, len(t.events))
		p.Events = slices.Clone(t.events[p.From:])
	}
	return p
}

// restore takes what an earlier owner had finished and not stored. The lock is
// held.
func (b *Batch) restore(results []submission.Result, now timer.Instant) int {
	n := 0
	for _, res := range results {
		if t := b.tasks[res.Item]; t != nil && t.phase != finished {
			// What is known of its events may be less than its text.
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

// longer returns the longer text of each item, and the most failures.
func longer(stored, copied []submission.Progress) []submission.Progress {
	best := make(map[string]submission.Progress, len(stored)+len(copied))
	for _, list := range [][]submission.Progress{stored, copied} {
		for _, p := range list {
			old := best[p.Item]
			p.Failures = max(p.Failures, old.Failures)
			if len(p.Events) <= len(old.Events) {
				p.Events, p.Versions = old.Events, old.Versions
			}
			best[p.Item] = p
		}
	}
	list := make([]submission.Progress, 0, len(best))
	for _, p := range best {
		list = append(list, p)
	}
	return list
}

package runner

import (
	"time"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// expect estimates when the step of a batch ends, for the trainer's reads. The
// lock is held.
func (r *Runner) expect(b *Batch, now timer.Instant) {
	b.endsAt = 0
	if b.sub.WantedGroups == 0 || b.made != 0 || b.usual <= 0 || !r.lengths.Known() {
		return
	}
	e := schedule.Ending{
		Missing: b.sub.WantedGroups - b.wholeGroups,
	}
	for group, left := range r.groupsLeft(b, now) {
		if b.again[group] {
			e.Again = append(e.Again, left)
		} else {
			e.Groups = append(e.Groups, left)
		}
	}
	if left := e.Left(); left > 0 {
		b.endsAt = now.Add(left)
	}
}

// groupsLeft returns the time until each unfinished group is expected to be
// whole. The lock is held.
func (r *Runner) groupsLeft(b *Batch, now timer.Instant) map[string]time.Duration {
	groups := make(map[string]time.Duration)
	for _, t := range b.tasks {
		if t.phase == finished {
			continue
		}
		groups[t.item.Group] = max(groups[t.item.Group], r.resultLeft(b, t, now))
	}
	return groups
}

// resultLeft returns the time until an item is expected to be made and scored. The lock
// is held.
func (r *Runner) resultLeft(b *Batch, t *task, now timer.Instant) time.Duration {
	switch {
	case t.item.Reward == nil && t.phase == scoring:
		return 0
	case t.item.Reward == nil:
		return r.itemLeft(b, t, now)
	case t.phase == scoring:
		return r.scoring.Left(now.Sub(t.spent.since))
	}
	return r.itemLeft(b, t, now) + r.scoring.Left(0)
}

// itemLeft returns the time until an item is expected to be made. The lock is
// held.
func (r *Runner) itemLeft(b *Batch, t *task, now timer.Instant) time.Duration {
	p := schedule.Progress{
		Made:     t.last,
		Expected: r.lengths.Events(t.tokens),
		Most:     r.lengths.Most(t.item.MostTokens),
	}
	pace := b.usual.Seconds()
	if t.phase == running {
		pace *= t.upstream.Against(b.usual.Seconds(), now)
	}
	return time.Duration(p.Remaining() * pace * float64(time.Second))
}

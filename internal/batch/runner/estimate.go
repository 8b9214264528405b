package runner

import (
	"time"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// estimateEnd estimates when the step of a batch ends, so that the trainer's reads
// can be answered in time for it. The caller holds b.mu.
func (r *Runner) estimateEnd(b *Batch, now timer.Instant) {
	b.expectedEnd = 0
	if b.sub.WantedGroups == 0 || b.stepDoneAt != 0 || b.medianPace <= 0 || !r.lengths.Known() {
		return
	}
	e := schedule.StepEnd{
		MissingGroups: b.sub.WantedGroups - b.wholeGroups,
	}
	for group, left := range r.groupTimesLeft(b, now) {
		if b.carriedOver[group] {
			e.CarriedOver = append(e.CarriedOver, left)
		} else {
			e.Groups = append(e.Groups, left)
		}
	}
	if left := e.Left(); left > 0 {
		b.expectedEnd = now.Add(left)
	}
}

// groupTimesLeft returns the time until each unfinished group is expected to be
// whole. The caller holds b.mu.
func (r *Runner) groupTimesLeft(b *Batch, now timer.Instant) map[string]time.Duration {
	groups := make(map[string]time.Duration)
	for _, t := range b.tasks {
		if t.phase == finished {
			continue
		}
		groups[t.item.Group] = max(groups[t.item.Group], r.resultTimeLeft(b, t, now))
	}
	return groups
}

// resultTimeLeft returns the time until the text of an item is expected to be
// generated and scored. The caller holds b.mu.
func (r *Runner) resultTimeLeft(b *Batch, t *task, now timer.Instant) time.Duration {
	switch {
	case t.item.Reward == nil && t.phase == scoring:
		return 0
	case t.item.Reward == nil:
		return r.generationTimeLeft(b, t, now)
	case t.phase == scoring:
		return r.scoring.Left(now.Sub(t.timings.lapStart))
	}
	return r.generationTimeLeft(b, t, now) + r.scoring.Left(0)
}

// generationTimeLeft returns the time until the text of an item is expected to be
// generated. The caller holds b.mu.
func (r *Runner) generationTimeLeft(b *Batch, t *task, now timer.Instant) time.Duration {
	p := schedule.Progress{
		TotalEvents:    t.lastEvent,
		ExpectedEvents: r.lengths.Events(t.tokens),
		MaxEvents:      r.lengths.MaxEvents(t.item.MostTokens),
	}
	pace := b.medianPace.Seconds()
	if t.phase == running {
		pace *= t.upstream.RelativePace(b.medianPace.Seconds(), now)
	}
	return time.Duration(p.Remaining() * pace * float64(time.Second))
}

package runner

import (
	"sort"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// rankInterval is the shortest time between two orderings of the queue of a step.
const rankInterval = 200 * time.Millisecond

// rankQueue orders the queue of a batch; the order depends on whether the step can
// complete in time. earlierWork is the work of earlier steps of the same model;
// rankQueue returns the sum of it and the work of this step. The caller holds b.mu.
func (r *Runner) rankQueue(b *Batch, earlierWork time.Duration, now timer.Instant) time.Duration {
	if b.sub.WantedGroups == 0 || b.route.ResultDeadline <= 0 || b.medianPace <= 0 || !r.lengths.Known() {
		// It is not known when the step is due, or how much work it has left.
		return earlierWork
	}
	groupIndex, groups := r.groupWork(b, now)
	load := schedule.Load{
		Groups:        groups,
		MissingGroups: b.sub.WantedGroups - b.wholeGroups,
		Slots:         r.totalSlots(b, now),
		OtherWork:     earlierWork,
		UntilDue:      b.route.ResultDeadline - b.age(now),
	}
	if len(b.queue) > 0 && now.Sub(b.rankedAt) >= rankInterval {
		b.rankedAt = now
		r.reorder(b, groupIndex, load)
	}
	return earlierWork + load.Needed()
}

// reorder sorts the queue by the rank of the groups, and longest first within a
// rank. An item that was refused or whose stream broke keeps its place before
// those that never started, unless the step is overloaded. The caller holds b.mu.
func (r *Runner) reorder(b *Batch, groupIndex map[string]int, load schedule.Load) {
	rank := load.Rank()
	if rank.Overloaded != b.overloaded {
		b.overloaded = rank.Overloaded
		r.Journal.Decision("overload", log.Fields{
			"request_id": b.sub.ID,
			"overloaded": b.overloaded,
			"missing":    load.MissingGroups,
			"slots":      load.Slots,
			"left_ms":    load.UntilDue.Milliseconds(),
			"needed_ms":  load.Needed().Milliseconds(),
			"others_ms":  load.OtherWork.Milliseconds(),
			"age_ms":     b.age(b.rankedAt).Milliseconds(),
		})
	}
	place := func(t *task) int { return rank.Places[groupIndex[t.item.Group]] }
	sort.SliceStable(b.queue, func(i, j int) bool {
		x, y := b.queue[i], b.queue[j]
		if place(x) != place(y) {
			return place(x) < place(y)
		}
		if started := x.attempts > 0; !rank.Overloaded && started != (y.attempts > 0) {
			return started
		}
		return x.tokens > y.tokens
	})
}

// groupWork returns the remaining work of each unfinished group, and the index of
// each group in that list by its name. The caller holds b.mu.
func (r *Runner) groupWork(b *Batch, now timer.Instant) (map[string]int, []schedule.GroupWork) {
	groupIndex := make(map[string]int)
	var groups []schedule.GroupWork
	for _, t := range b.tasks {
		if t.phase == finished || t.phase == scoring {
			continue
		}
		index, ok := groupIndex[t.item.Group]
		if !ok {
			index = len(groups)
			groupIndex[t.item.Group] = index
			groups = append(groups, schedule.GroupWork{
				CarriedOver: b.carriedOver[t.item.Group],
			})
		}
		remaining := r.generationTimeLeft(b, t, now)
		groups[index].Total += remaining
		groups[index].Longest = max(groups[index].Longest, remaining)
	}
	return groupIndex, groups
}

// totalSlots returns how many items run at once at the engines that serve the
// batch, or will when they have loaded the next weights. If the batch has too
// many items for the engines of its own model, only those count. While the step of
// some model crowds its share, only the slots count that the batch can really use:
// planned with those that other steps hold, no group would be whole in time. The
// caller holds b.mu.
func (r *Runner) totalSlots(b *Batch, now timer.Instant) int {
	all, own := 0, 0
	models := r.engineModels(b, now)
	anyCrowded := models != nil && len(r.crowdedModels(b)) > 0
	var engines []schedule.StepEngine
	items := b.itemsByEngine()
	for _, u := range r.engineGroup(b).Upstreams {
		if u.InService(now) && u.ModelVersion(b.sub.Model)+1 >= b.sub.OldestVersion {
			slots := u.PermitSlots(now)
			if slots == 0 {
				continue
			}
			otherModel := b.isOtherModel(models[u.ID])
			all += slots
			if !otherModel {
				own += slots
			}
			if !anyCrowded {
				continue
			}
			engines = append(engines, schedule.StepEngine{
				Slots:      slots,
				FreeSlots:  coldFreeSlots(u, now),
				InFlight:   u.InFlight(),
				StepItems:  items[u],
				OtherModel: otherModel,
				ReportAge:  reportAge(u, now),
			})
		}
	}
	crowds := schedule.CrowdsOwnEngines(b.open, own)
	if anyCrowded {
		return schedule.UsableSlots(engines, crowds)
	}
	if crowds {
		return own
	}
	return all
}

// itemsByEngine returns the number of running items of the batch at each engine. The
// caller holds b.mu.
func (b *Batch) itemsByEngine() map[*catalog.Upstream]int {
	items := make(map[*catalog.Upstream]int)
	for _, t := range b.tasks {
		if t.phase == running {
			items[t.upstream]++
		}
	}
	return items
}

// age returns the time since the batch was submitted.
func (b *Batch) age(now timer.Instant) time.Duration { return now.Sub(b.submittedAt) }

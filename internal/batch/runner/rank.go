package runner

import (
	"sort"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// rankEvery is how often the queue of a step is put in order under overload.
const rankEvery = 200 * time.Millisecond

// rank puts the queue of a batch in order if its step can't be whole in time.
// others is the work of earlier steps of its model; it returns it with the work
// of this one. The lock is held.
func (r *Runner) rank(b *Batch, others time.Duration, now timer.Instant) time.Duration {
	if b.sub.WantedGroups == 0 || b.route.ResultDeadline <= 0 || b.usual <= 0 || !r.lengths.Known() {
		// Nobody said when it is due, or nothing is known of its work.
		return others
	}
	names, groups := r.work(b, now)
	l := schedule.Load{
		Groups:  groups,
		Missing: b.sub.WantedGroups - b.wholeGroups,
		Slots:   r.slots(b, now),
		Others:  others,
		Left:    b.route.ResultDeadline - b.age(now),
	}
	if len(b.queue) > 0 && now.Sub(b.ranked) >= rankEvery {
		b.ranked = now
		r.reorder(b, names, l)
	}
	return others + l.Needed()
}

// reorder sorts the queue by the places of groups, and longest first within one. An
// item that was refused or broken off keeps its place before those that never began,
// unless the step is overloaded. The lock is held.
func (r *Runner) reorder(b *Batch, names map[string]int, l schedule.Load) {
	rank := l.Rank()
	if rank.Overloaded != b.overloaded {
		b.overloaded = rank.Overloaded
		r.Journal.Decision("overload", log.Fields{
			"request_id": b.sub.ID,
			"overloaded": b.overloaded,
			"missing":    l.Missing,
			"slots":      l.Slots,
			"left_ms":    l.Left.Milliseconds(),
			"needed_ms":  l.Needed().Milliseconds(),
			"others_ms":  l.Others.Milliseconds(),
			"age_ms":     b.age(b.ranked).Milliseconds(),
		})
	}
	place := func(t *task) int { return rank.Places[names[t.item.Group]] }
	sort.SliceStable(b.queue, func(i, j int) bool {
		x, y := b.queue[i], b.queue[j]
		if place(x) != place(y) {
			return place(x) < place(y)
		}
		if begun := x.attempts > 0; !rank.Overloaded && begun != (y.attempts > 0) {
			return begun
		}
		return x.tokens > y.tokens
	})
}

// work returns what is left to do of each unfinished group, and the groups'
// places by name. The lock is held.
func (r *Runner) work(b *Batch, now timer.Instant) (map[string]int, []schedule.Work) {
	names := make(map[string]int)
	var groups []schedule.Work
	for _, t := range b.tasks {
		if t.phase == finished || t.phase == scoring {
			continue
		}
		at, ok := names[t.item.Group]
		if !ok {
			at = len(groups)
			names[t.item.Group] = at
			groups = append(groups, schedule.Work{
				Again: b.again[t.item.Group],
			})
		}
		left := r.itemLeft(b, t, now)
		groups[at].Total += left
		groups[at].Longest = max(groups[at].Longest, left)
	}
	return names, groups
}

// slots returns how many items the engines run that serve the batch or will when
// they have loaded the next weights; those of its model alone if it crowds them. The
// lock is held.
func (r *Runner) slots(b *Batch, now timer.Instant) int {
	all, own := 0, 0
	sets := r.sets(b, now)
	for _, u := range r.Book.Group(b.service).Upstreams {
		if u.Usable(now) && u.ModelVersion(b.sub.Model)+1 >= b.sub.OldestVersion {
			all += max(1, u.Slots)
			if !b.lends(sets[u.ID]) {
				own += max(1, u.Slots)
			}
		}
	}
	if schedule.Crowds(b.open, own) {
		return own
	}
	return all
}

// age returns the time since the batch was submitted.
func (b *Batch) age(now timer.Instant) time.Duration { return now.Sub(b.asked) }

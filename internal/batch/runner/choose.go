package runner

import (
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// candidate is an engine that may take an item.
type candidate struct {
	schedule.Engine
	u *catalog.Upstream
}

// Division tells which engines are for which model while several are at work.
type Division interface {
	// Sets returns the model of each engine of a service by the engine's id, nil
	// if all are for all. sure says that the news of all steps has come by now.
	Sets(service string, sure bool) map[string]string
}

// newsTime is how long the news of a step takes at the most to reach all instances.
const newsTime = 300 * time.Millisecond

// sets returns the model of each engine that the batch could use.
func (r *Runner) sets(b *Batch, now timer.Instant) map[string]string {
	if r.Division == nil || b.sub.Model == "" {
		return nil
	}
	return r.Division.Sets(b.service, now.Sub(b.begun) >= newsTime)
}

// lends reports whether an engine that is for a model is lent to the batch.
func (b *Batch) lends(model string) bool { return model != "" && model != b.sub.Model }

// room returns how many more requests an engine takes; one that refused a moment ago
// takes none.
func room(u *catalog.Upstream, now timer.Instant) float64 {
	if u.Resting(now) {
		return 0
	}
	return u.Room(now)
}

// never stands for the age of what was not told yet.
const never = time.Hour

// told returns how long ago an engine told its load.
func told(u *catalog.Upstream, now timer.Instant) time.Duration {
	if _, age, ok := u.Report(now); ok {
		return age
	}
	return never
}

// engines returns the engines that can serve the batch now. If it crowds those of its
// model, others are left out unless they are open to it. The lock is held.
func (r *Runner) engines(b *Batch, now timer.Instant) []candidate {
	list := r.usable(b, now)
	own := 0
	for _, c := range list {
		if !c.Lent {
			own += c.Slots
		}
	}
	if !schedule.Crowds(b.open, own) {
		return list
	}
	return slices.DeleteFunc(list, func(c candidate) bool { return !c.Open() })
}

// usable returns the engines whose weights do for the batch. The lock is held.
func (r *Runner) usable(b *Batch, now timer.Instant) []candidate {
	var list []candidate
	memory := r.memory(b.service)
	sets := r.sets(b, now)
	group := r.Book.Group(b.service)
	usual := group.Set.MedianPace()
	for _, u := range group.Upstreams {
		if !u.Usable(now) {
			continue
		}
		if b.sub.Model != "" && u.ModelVersion(b.sub.Model) < b.sub.OldestVersion {
			continue
		}
		list = append(list, candidate{
			Engine: schedule.Engine{
				Room:     room(u, now),
				Slots:    max(1, u.Slots),
				Pace:     u.Against(usual, now),
				Near:     u.FailureDomain == r.FailureDomain,
				Memory:   memory,
				Reserved: u.Reserved(),
				Lent:     b.lends(sets[u.ID]),
				Told:     told(u, now),
			},
			u: u,
		})
	}
	return list
}

// memory returns the memory of an engine of a service, in tokens; 0 if unknown.
func (r *Runner) memory(service string) int64 {
	if cfg := r.Holder.Current(); cfg != nil {
		if s := cfg.Services[service]; s.Engine != nil {
			return int64(s.Engine.Tokens)
		}
	}
	return 0
}

// plainOf returns what a choice needs to know of the engines.
func plainOf(list []candidate) []schedule.Engine {
	plain := make([]schedule.Engine, len(list))
	for i, c := range list {
		plain[i] = c.Engine
	}
	return plain
}

// usual returns the usual time between two events at the batch's engines.
func (r *Runner) usual(b *Batch) time.Duration {
	return time.Duration(r.Book.Group(b.service).Set.MedianPace() * float64(time.Second))
}

// pickBut picks an engine other than the one that the item has just left, if
// there is any.
func pickBut(plain []schedule.Engine, list []candidate, left *catalog.Upstream, n schedule.Need) int {
	for i := range list {
		if left == nil || list[i].u != left {
			continue
		}
		room := plain[i].Room
		plain[i].Room = 0
		at := schedule.Pick(plain, n)
		plain[i].Room = room
		if at >= 0 {
			return at
		}
	}
	return schedule.Pick(plain, n)
}

// needOf describes a task that is to begin. The lock is held.
func (r *Runner) needOf(b *Batch, t *task, usual time.Duration, now timer.Instant) schedule.Need {
	left := max(0, r.lengths.Events(t.tokens)-float64(t.last))
	return schedule.Need{
		Lasts:   time.Duration(left * float64(usual)),
		Waited:  now.Sub(b.begun),
		Hurried: b.overloaded,
		Memory:  t.needs(),
	}
}

package runner

import (
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

// engines returns the engines that can serve the batch now. The lock is held.
func (r *Runner) engines(b *Batch, now timer.Instant) []candidate {
	var list []candidate
	memory := r.memory(b.service)
	group := r.Book.Group(b.service)
	usual := group.Set.MedianPace()
	for _, u := range group.Upstreams {
		if !u.Usable(now) || u.Resting(now) {
			continue
		}
		if b.sub.Model != "" && u.ModelVersion(b.sub.Model) < b.sub.OldestVersion {
			continue
		}
		list = append(list, candidate{
			Engine: schedule.Engine{
				Room:     u.Room(now),
				Slots:    max(1, u.Slots),
				Pace:     u.Against(usual, now),
				Near:     u.FailureDomain == r.FailureDomain,
				Memory:   memory,
				Reserved: u.Reserved(),
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

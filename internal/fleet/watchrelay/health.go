package watchrelay

import (
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// avoidTime is how long a watcher that did not answer is not asked again.
const avoidTime = 2 * time.Second

// health records which watchers answer this instance.
type health struct {
	mu sync.Mutex
	// failing holds the watchers whose last answer was none or a stale one.
	failing map[string]failure
	// withoutSince is since when no watcher answers; zero if one does.
	withoutSince timer.Instant
	// answeredAt is when a watcher answered last.
	answeredAt timer.Instant
}

// failure describes a watcher that fails.
type failure struct {
	since timer.Instant
	// silent is set if the last call was not answered; a stale answer comes at once.
	silent bool
	// avoidUntil is when a silent watcher may be asked again.
	avoidUntil timer.Instant
}

// split divides watchers into those to ask now, in their order, and those that were silent when they
// were asked last, of which it leaves out the ones that are still avoided.
func (h *health) split(watchers []registry.Member, now timer.Instant) (sound, unsure []registry.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range watchers {
		switch f := h.failing[m.Name]; {
		case !f.silent:
			sound = append(sound, m)
		case now >= f.avoidUntil:
			unsure = append(unsure, m)
		}
	}
	return sound, unsure
}

// noteAnswer records and counts a call to a watcher that ended with err, and logs it if the one before
// ended otherwise.
func (r *Relay) noteAnswer(watcher string, err error) {
	r.Metrics.countQuery(err)
	now := r.Timer.Now()
	h := &r.health
	h.mu.Lock()
	f, failed := h.failing[watcher]
	switch {
	case err == nil:
		delete(h.failing, watcher)
	default:
		if h.failing == nil {
			h.failing = make(map[string]failure)
		}
		if !failed {
			f.since = now
		}
		f.silent = !errors.Is(err, errStale)
		f.avoidUntil = now.Add(avoidTime)
		h.failing[watcher] = f
	}
	h.mu.Unlock()
	switch {
	case err == nil && failed:
		r.Journal.Info("watcher answers again", log.Fields{
			"watcher":   watcher,
			"lasted_ms": now.Sub(f.since).Milliseconds(),
		})
	case err != nil && !failed:
		r.Journal.Warn("watcher does not answer", err, log.Fields{
			"watcher": watcher,
			"stale":   !f.silent,
		})
	}
}

// forget drops the records of instances that are no longer asked.
func (h *health) forget(asked []registry.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.failing {
		if !contains(asked, name) {
			delete(h.failing, name)
		}
	}
}

// logFailover logs when this instance begins to read the service itself because none of the watchers
// that it asked answers, and when it ends.
func (r *Relay) logFailover(withoutWatcher bool, asked int) {
	h := &r.health
	now := r.Timer.Now()
	h.mu.Lock()
	since, answeredAt := h.withoutSince, h.answeredAt
	began := withoutWatcher && since == 0
	ended := !withoutWatcher && since != 0
	if began {
		h.withoutSince = now
	}
	if !withoutWatcher {
		h.withoutSince = 0
		h.answeredAt = now
	}
	h.mu.Unlock()
	switch {
	case began:
		fields := log.Fields{
			"asked": asked,
		}
		if answeredAt != 0 {
			fields["answered_ms"] = now.Sub(answeredAt).Milliseconds()
		}
		r.Journal.Info("no watcher answers, the service is read", fields)
	case ended:
		r.Journal.Info("a watcher answers, the service is no longer read", log.Fields{
			"lasted_ms": now.Sub(since).Milliseconds(),
		})
	}
}

package watchrelay

import (
	"errors"
	"sync"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// answerLog logs which watchers stop answering and answer again, one line for each change.
type answerLog struct {
	mu sync.Mutex
	// failing holds the watchers that failed the last query, and since when.
	failing map[string]timer.Instant
	// withoutSince is since when no watcher answers; zero if one does.
	withoutSince timer.Instant
	// answeredAt is when a watcher answered last.
	answeredAt timer.Instant
}

// logAnswer logs a query of a watcher that ended with err, if the one before ended otherwise.
func (r *Relay) logAnswer(watcher string, err error) {
	l := &r.answers
	now := r.Timer.Now()
	l.mu.Lock()
	since, failed := l.failing[watcher]
	switch {
	case err == nil:
		delete(l.failing, watcher)
	case !failed:
		if l.failing == nil {
			l.failing = make(map[string]timer.Instant)
		}
		l.failing[watcher] = now
	}
	l.mu.Unlock()
	switch {
	case err == nil && failed:
		r.Journal.Info("watcher answers again", log.Fields{
			"watcher":   watcher,
			"lasted_ms": now.Sub(since).Milliseconds(),
		})
	case err != nil && !failed:
		r.Journal.Warn("watcher does not answer", err, log.Fields{
			"watcher": watcher,
			"stale":   errors.Is(err, errStale),
		})
	}
}

// logFailover logs when this instance begins to read the service itself because none of the watchers
// that it asked answers, and when it ends.
func (r *Relay) logFailover(withoutWatcher bool, asked int) {
	l := &r.answers
	now := r.Timer.Now()
	l.mu.Lock()
	since, answeredAt := l.withoutSince, l.answeredAt
	began := withoutWatcher && since == 0
	ended := !withoutWatcher && since != 0
	if began {
		l.withoutSince = now
	}
	if !withoutWatcher {
		l.withoutSince = 0
		l.answeredAt = now
	}
	l.mu.Unlock()
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

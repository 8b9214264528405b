package slowstart

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

const (
	// cleanupInterval is how often the shares are listed, in a stale listing, which costs a
	// tenth of a fresh one.
	cleanupInterval = time.Minute
	// shareRetention is how long a share is kept after its upstream is no longer listed. An
	// upstream may be missing from the list for a while although it runs, and holders that
	// don't know this continue to use their shares.
	shareRetention = 15 * time.Minute
	// cleanupTimeout bounds one removal of shares.
	cleanupTimeout = 20 * time.Second
)

// RunCleanup removes the shares of upstreams that are gone until t dies, while holdsDuty reports
// that this instance holds the duty. It makes no calls while no service has a slow start.
func (c *Claims) RunCleanup(t *tomb.Tomb, holdsDuty func() bool) error {
	ticks := c.Timer.Every(cleanupInterval)
	defer ticks.Close()
	var missing map[string]timer.Instant
	for {
		select {
		case <-ticks.C:
		case <-t.Dying():
			return nil
		}
		if !holdsDuty() || !c.Upstreams.AnySlowStart() {
			missing = nil
			continue
		}
		missing = c.cleanUp(t.Context(context.Background()), missing)
	}
}

// cleanUp removes the shares whose upstream has not been listed for shareRetention. missing and the
// result hold the keys of upstreams that are not listed and since when.
func (c *Claims) cleanUp(ctx context.Context, missing map[string]timer.Instant) map[string]timer.Instant {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	listing, err := c.Store.Range(ctx, Prefix, keyvalue.Stale)
	if err != nil {
		c.Journal.Warn("shares of cold upstreams not listed", err, log.Fields{})
		return missing
	}
	listed := make(map[string]bool)
	for _, entry := range c.Upstreams.Entries() {
		listed[incarnationPrefix(entry)] = true
	}
	now := c.Timer.Now()
	next := make(map[string]timer.Instant)
	var removes []string
	for _, item := range listing.Items {
		if listed[item.Key[:strings.LastIndexByte(item.Key, '/')+1]] {
			continue
		}
		since, known := missing[item.Key]
		if !known {
			since = now
		}
		next[item.Key] = since
		if now.Sub(since) >= shareRetention {
			removes = append(removes, item.Key)
		}
	}
	for len(removes) > 0 {
		n := min(len(removes), keyvalue.MaxEntries)
		if _, err := c.Store.Commit(ctx, keyvalue.Transaction{Removes: removes[:n]}); err != nil {
			c.Journal.Warn("shares of cold upstreams not removed", err, log.Fields{})
			return next
		}
		c.Journal.Decision("forget_shares", log.Fields{"keys": n})
		removes = removes[n:]
	}
	return next
}

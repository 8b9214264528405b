package watchrelay

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// coalesceDelay is the pause after an answer with changes, in which further changes
// gather: weights move engine after engine, and one more answer costs as much as ten
// changes within an answer.
const coalesceDelay = 250 * time.Millisecond

// errNoWatcher means that all watchers that were asked failed or are stale.
var errNoWatcher = errors.New("no watcher gave a current answer")

// watcherPoller polls a watcher for the changes of all prefixes at once and buffers
// them for the callers of Relay.Watch, one per prefix. It polls only while there is
// such a caller. Its zero value is ready to use.
type watcherPoller struct {
	mu sync.Mutex
	// cursors holds the revisions after which the next poll asks for changes, by prefix.
	cursors map[string]uint64
	// buffered holds the changes that were polled and not yet returned, by prefix.
	buffered map[string]PrefixChanges
	// revisions holds the revisions up to which prefixes were read by listings and by
	// watches of the service itself.
	revisions map[string]uint64
	running   bool
	// hasWaiter is set when a caller waits for the poll in progress.
	hasWaiter bool
	// pollDone is closed when the poll in progress ends.
	pollDone chan struct{}
	// err is the error of the last poll.
	err error
}

// next returns the next changes of a prefix after a revision, or none if the next
// poll returns none.
func (p *watcherPoller) next(ctx context.Context, relay *Relay, prefix string, after uint64) (PrefixChanges, error) {
	for {
		p.mu.Lock()
		if polled, ok := p.take(prefix, after); ok {
			p.mu.Unlock()
			return polled, nil
		}
		if !p.running {
			p.running = true
			p.pollDone = make(chan struct{})
			go p.run(relay)
		}
		p.hasWaiter = true
		pollDone := p.pollDone
		p.mu.Unlock()
		select {
		case <-pollDone:
		case <-ctx.Done():
			return PrefixChanges{}, ctx.Err()
		}
		p.mu.Lock()
		err := p.err
		_, ok := p.buffered[prefix]
		p.mu.Unlock()
		if err != nil {
			return PrefixChanges{}, err
		}
		if !ok {
			return PrefixChanges{
				Revision: after,
			}, nil
		}
	}
}

// take returns the buffered changes of a prefix after a revision, if there are any, and has the next
// poll ask for those that are missing. p.mu must be held.
func (p *watcherPoller) take(prefix string, after uint64) (PrefixChanges, bool) {
	if p.cursors == nil {
		p.cursors = make(map[string]uint64)
		p.buffered = make(map[string]PrefixChanges)
	}
	if after > p.cursors[prefix] {
		// The caller has listed the prefix at a newer revision than the watcher's.
		p.cursors[prefix] = after
		p.dropUpTo(prefix, after)
	}
	if polled, ok := p.buffered[prefix]; ok {
		delete(p.buffered, prefix)
		return polled, true
	}
	// If the changes in between went to an earlier call, they are no longer buffered.
	p.cursors[prefix] = min(p.cursors[prefix], after)
	return PrefixChanges{}, false
}

// recordRevision records the revision up to which a prefix was read.
func (p *watcherPoller) recordRevision(prefix string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revisions == nil {
		p.revisions = make(map[string]uint64)
	}
	p.revisions[prefix] = max(p.revisions[prefix], revision)
}

// lastRevision returns the newest revision up to which a prefix was read.
func (p *watcherPoller) lastRevision(prefix string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.revisions[prefix], p.cursors[prefix])
}

// dropUpTo drops the buffered changes up to a revision. p.mu must be held.
func (p *watcherPoller) dropUpTo(prefix string, after uint64) {
	polled, ok := p.buffered[prefix]
	if !ok {
		return
	}
	var left []keyvalue.Change
	for _, c := range polled.Changes {
		if c.Revision > after {
			left = append(left, c)
		}
	}
	polled.Changes = left
	polled.Behind = false
	p.buffered[prefix] = polled
	if len(left) == 0 {
		delete(p.buffered, prefix)
	}
}

// run polls until a poll fails or nobody waits for the result.
func (p *watcherPoller) run(relay *Relay) {
	for {
		reply, err := p.pollWatchers(relay)
		p.mu.Lock()
		p.buffer(reply.News)
		p.err = err
		close(p.pollDone)
		p.pollDone = make(chan struct{})
		p.running = p.hasWaiter && err == nil
		p.hasWaiter = false
		running := p.running
		p.mu.Unlock()
		if !running {
			return
		}
		if len(reply.News) > 0 {
			timer.Wait(relay.Timer, coalesceDelay, nil)
		}
	}
}

// buffer adds what a poll returned to what earlier ones did. That a watcher was behind stays until the
// caller has listed the prefix, as the changes in between are missing in all later answers. p.mu must
// be held.
func (p *watcherPoller) buffer(news map[string]PrefixChanges) {
	for prefix, polled := range news {
		earlier := p.buffered[prefix]
		polled.Behind = polled.Behind || earlier.Behind
		polled.Changes = append(earlier.Changes, polled.Changes...)
		p.buffered[prefix] = polled
		p.cursors[prefix] = max(p.cursors[prefix], polled.Revision)
	}
}

// pollWatchers polls the watchers until one answers.
func (p *watcherPoller) pollWatchers(relay *Relay) (Reply, error) {
	p.mu.Lock()
	q := Query{
		After:  maps.Clone(p.cursors),
		WaitMS: relay.pollWait().Milliseconds(),
	}
	p.mu.Unlock()
	if relay.NeedsConfirmation != nil && relay.NeedsConfirmation() {
		q.WaitMS = eagerPollWait.Milliseconds()
	}
	watchers := relay.watchersToAsk()
	reply, err := relay.pollInOrder(watchers, q)
	relay.logFailover(err != nil, len(watchers))
	return reply, err
}

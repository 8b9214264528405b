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
func (f *watcherPoller) next(ctx context.Context, s *Relay, prefix string, after uint64) (PrefixChanges, error) {
	for {
		f.mu.Lock()
		if f.cursors == nil {
			f.cursors = make(map[string]uint64)
			f.buffered = make(map[string]PrefixChanges)
		}
		if after > f.cursors[prefix] {
			// The caller has listed the prefix at a newer revision than the watcher's.
			f.cursors[prefix] = after
			f.dropUpTo(prefix, after)
		}
		if n, ok := f.buffered[prefix]; ok {
			delete(f.buffered, prefix)
			f.mu.Unlock()
			return n, nil
		}
		if after < f.cursors[prefix] {
			// The changes in between went to an earlier call and are no longer
			// buffered: polls for them again.
			f.cursors[prefix] = after
		}
		if !f.running {
			f.running = true
			f.pollDone = make(chan struct{})
			go f.run(s)
		}
		f.hasWaiter = true
		pollDone := f.pollDone
		f.mu.Unlock()
		select {
		case <-pollDone:
		case <-ctx.Done():
			return PrefixChanges{}, ctx.Err()
		}
		f.mu.Lock()
		err := f.err
		_, ok := f.buffered[prefix]
		f.mu.Unlock()
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

// recordRevision records the revision up to which a prefix was read.
func (f *watcherPoller) recordRevision(prefix string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revisions == nil {
		f.revisions = make(map[string]uint64)
	}
	f.revisions[prefix] = max(f.revisions[prefix], revision)
}

// lastRevision returns the newest revision up to which a prefix was read.
func (f *watcherPoller) lastRevision(prefix string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.revisions[prefix], f.cursors[prefix])
}

// dropUpTo drops the buffered changes up to a revision. f.mu must be held.
func (f *watcherPoller) dropUpTo(prefix string, after uint64) {
	n, ok := f.buffered[prefix]
	if !ok {
		return
	}
	var left []keyvalue.Change
	for _, c := range n.Changes {
		if c.Revision > after {
			left = append(left, c)
		}
	}
	n.Changes = left
	n.Behind = false
	f.buffered[prefix] = n
	if len(left) == 0 {
		delete(f.buffered, prefix)
	}
}

// run polls until a poll fails or nobody waits for the result.
func (f *watcherPoller) run(s *Relay) {
	for {
		r, err := f.pollWatchers(s)
		f.mu.Lock()
		for prefix, n := range r.News {
			n.Changes = append(f.buffered[prefix].Changes, n.Changes...)
			f.buffered[prefix] = n
			f.cursors[prefix] = max(f.cursors[prefix], n.Revision)
		}
		f.err = err
		close(f.pollDone)
		f.pollDone = make(chan struct{})
		f.running = f.hasWaiter && err == nil
		f.hasWaiter = false
		running := f.running
		f.mu.Unlock()
		if !running {
			return
		}
		if len(r.News) > 0 {
			timer.Wait(s.Timer, coalesceDelay, nil)
		}
	}
}

// pollWatchers polls the watchers in order until one answers.
func (f *watcherPoller) pollWatchers(s *Relay) (Reply, error) {
	f.mu.Lock()
	q := Query{
		After:  maps.Clone(f.cursors),
		WaitMS: pollWait.Milliseconds(),
	}
	f.mu.Unlock()
	if s.NeedsConfirmation != nil && s.NeedsConfirmation() {
		q.WaitMS = eagerPollWait.Milliseconds()
	}
	for _, m := range s.watchersToAsk() {
		r, err := s.poll(context.Background(), m, q)
		if err == nil {
			return r, nil
		}
		if !errors.Is(err, errStale) {
			// The failed call may have used up the wait, so the next watcher answers
			// at once. A watcher that is stale answers at once itself.
			q.WaitMS = 0
		}
	}
	return Reply{}, errNoWatcher
}

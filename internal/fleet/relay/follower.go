package relay

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// gatherPause is the pause after an answer with changes: weights move engine
// after engine, and each answer costs as much as ten changes in one.
const gatherPause = 250 * time.Millisecond

// errNoWatcher means that no watcher that was asked surely hears the service.
var errNoWatcher = errors.New("no watcher answers")

// follower asks a watcher for the changes of all prefixes at once and keeps
// them for the mirrors. Its zero value works.
type follower struct {
	mu      sync.Mutex
	cursors map[string]uint64
	news    map[string]News
	// listed are the revisions up to which prefixes were heard.
	listed  map[string]uint64
	running bool
	// waited says that a mirror waits for the query under way.
	waited bool
	// round is closed when the query under way is over.
	round chan struct{}
	err   error
}

// next returns the next news of a prefix after a revision.
func (f *follower) next(ctx context.Context, s *Space, prefix string, after uint64) (News, error) {
	for {
		f.mu.Lock()
		if f.cursors == nil {
			f.cursors = make(map[string]uint64)
			f.news = make(map[string]News)
		}
		if after > f.cursors[prefix] {
			// A listing was ahead of the watcher.
			f.cursors[prefix] = after
			f.drop(prefix, after)
		}
		if n, ok := f.news[prefix]; ok {
			delete(f.news, prefix)
			f.mu.Unlock()
			return n, nil
		}
		if after < f.cursors[prefix] {
			// What lay between was lost with an earlier wait.
			f.cursors[prefix] = after
		}
		if !f.running {
			f.running = true
			f.round = make(chan struct{})
			go f.run(s)
		}
		f.waited = true
		round := f.round
		f.mu.Unlock()
		select {
		case <-round:
		case <-ctx.Done():
			return News{}, ctx.Err()
		}
		f.mu.Lock()
		err := f.err
		_, ok := f.news[prefix]
		f.mu.Unlock()
		if err != nil {
			return News{}, err
		}
		if !ok {
			return News{
				Revision: after,
			}, nil
		}
	}
}

// hear notes up to which revision a prefix was heard.
func (f *follower) hear(prefix string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed == nil {
		f.listed = make(map[string]uint64)
	}
	f.listed[prefix] = max(f.listed[prefix], revision)
}

// heard returns up to which revision a prefix was heard.
func (f *follower) heard(prefix string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.listed[prefix], f.cursors[prefix])
}

// drop forgets buffered changes up to a revision. The lock is held.
func (f *follower) drop(prefix string, after uint64) {
	n, ok := f.news[prefix]
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
	f.news[prefix] = n
	if len(left) == 0 {
		delete(f.news, prefix)
	}
}

// run asks as long as anyone waits.
func (f *follower) run(s *Space) {
	for {
		r, err := f.ask(s)
		f.mu.Lock()
		for prefix, n := range r.News {
			n.Changes = append(f.news[prefix].Changes, n.Changes...)
			f.news[prefix] = n
			f.cursors[prefix] = max(f.cursors[prefix], n.Revision)
		}
		f.err = err
		close(f.round)
		f.round = make(chan struct{})
		f.running = f.waited && err == nil
		f.waited = false
		going := f.running
		f.mu.Unlock()
		if !going {
			return
		}
		if len(r.News) > 0 {
			timer.Wait(s.Timer, gatherPause, nil)
		}
	}
}

// ask makes one query, at the next watcher if the first one fails.
func (f *follower) ask(s *Space) (Reply, error) {
	f.mu.Lock()
	q := Query{
		After:  maps.Clone(f.cursors),
		WaitMS: relayWait.Milliseconds(),
	}
	f.mu.Unlock()
	if s.Eager != nil && s.Eager() {
		q.WaitMS = eagerWait.Milliseconds()
	}
	for _, m := range s.ask() {
		r, err := s.poll(context.Background(), m, q)
		if err == nil {
			return r, nil
		}
		if !errors.Is(err, errStale) {
			// The time that this one took is gone; the next one answers with what
			// it has. One that says it hears nothing has taken none.
			q.WaitMS = 0
		}
	}
	return Reply{}, errNoWatcher
}

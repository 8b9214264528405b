package crashnotice

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// GossipPublisher is a Publisher that spreads the notices by gossip between instances.
type GossipPublisher struct {
	State *gossip.State
	// Key is the key of the board.
	Key string

	mu      sync.Mutex
	version uint64
	value   []byte
}

// Publish implements Publisher.
func (g *GossipPublisher) Publish(_ context.Context, value []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.value = value
	g.mergeEntry()
	return nil
}

// Renew implements Publisher. An entry expires at a fixed time of day, so it is published
// again as a newer version.
func (g *GossipPublisher) Renew(context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.State.Find(gossip.KindCrashes, g.Key); ok && time.Until(time.Unix(e.Expires, 0)) < noticeTTL/2 {
		g.mergeEntry()
	}
	return nil
}

// mergeEntry publishes the value as a new version of the entry. g.mu must be held.
func (g *GossipPublisher) mergeEntry() {
	g.version++
	g.State.Merge(gossip.Entry{
		Kind: gossip.KindCrashes,
		Key:  g.Key,
		Version: gossip.Version{
			Major: g.version,
		},
		Value:   g.value,
		Expires: time.Now().Add(noticeTTL).Unix(),
	})
}

// Listener passes the notices that arrive by gossip to a board.
type Listener struct {
	State *gossip.State
	Board *Board

	seenVersions map[string]gossip.Version
}

// Run passes on notices until t dies.
func (l *Listener) Run(t *tomb.Tomb) error {
	for {
		changed := l.State.Changed(gossip.KindCrashes)
		if changes := l.newEntries(); len(changes) > 0 {
			l.Board.Apply(changes)
		}
		select {
		case <-changed:
		case <-t.Dying():
			return nil
		}
	}
}

// newEntries returns the entries of other instances that are new since the last call.
func (l *Listener) newEntries() []keyvalue.Change {
	var changes []keyvalue.Change
	versions := make(map[string]gossip.Version)
	for _, e := range l.State.List(gossip.KindCrashes) {
		versions[e.Key] = e.Version
		if old, ok := l.seenVersions[e.Key]; ok && !old.Less(e.Version) || e.Key == l.Board.Key {
			continue
		}
		changes = append(changes, keyvalue.Change{
			Item: keyvalue.Item{
				Key:   e.Key,
				Value: e.Value,
			},
		})
	}
	l.seenVersions = versions
	return changes
}

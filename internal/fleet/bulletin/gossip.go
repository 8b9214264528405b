package bulletin

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Gossip is a Poster that tells other instances directly.
type Gossip struct {
	State *gossip.State
	// Key is that of the board.
	Key string

	mu      sync.Mutex
	version uint64
	value   []byte
}

// Post implements Poster.
func (g *Gossip) Post(_ context.Context, value []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.value = value
	g.merge()
	return nil
}

// Renew implements Poster. An entry ends at a time of day, so it is told again.
func (g *Gossip) Renew(context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.State.Find(gossip.KindCrashes, g.Key); ok && time.Until(time.Unix(e.Expires, 0)) < lasts/2 {
		g.merge()
	}
	return nil
}

// merge tells the value. The lock is held.
func (g *Gossip) merge() {
	g.version++
	g.State.Merge(gossip.Entry{
		Kind: gossip.KindCrashes,
		Key:  g.Key,
		Version: gossip.Version{
			Major: g.version,
		},
		Value:   g.value,
		Expires: time.Now().Add(lasts).Unix(),
	})
}

// Listener takes for a board what others gossip.
type Listener struct {
	State *gossip.State
	Board *Board

	seen map[string]gossip.Version
}

// Run listens until t dies.
func (l *Listener) Run(t *tomb.Tomb) error {
	for {
		changed := l.State.Changed(gossip.KindCrashes)
		if news := l.news(); len(news) > 0 {
			l.Board.Take(news)
		}
		select {
		case <-changed:
		case <-t.Dying():
			return nil
		}
	}
}

// news returns the entries that were not seen before.
func (l *Listener) news() []keyvalue.Change {
	var news []keyvalue.Change
	seen := make(map[string]gossip.Version)
	for _, e := range l.State.List(gossip.KindCrashes) {
		seen[e.Key] = e.Version
		if old, ok := l.seen[e.Key]; ok && !old.Less(e.Version) || e.Key == l.Board.Key {
			continue
		}
		news = append(news, keyvalue.Change{
			Item: keyvalue.Item{
				Key:   e.Key,
				Value: e.Value,
			},
		})
	}
	l.seen = seen
	return news
}

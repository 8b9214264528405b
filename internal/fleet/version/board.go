package version

import (
	"encoding/json"
	"sync/atomic"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// Published is a version with where its weights lie.
type Published struct {
	Version Version `json:"version"`
	// Source is the name of the weights in the weight store.
	Source string `json:"source"`
}

// Board keeps the newest published version of each deployment. It is told to
// one instance and spreads by gossip.
type Board struct {
	State *gossip.State

	current atomic.Pointer[board]
}

// board is an immutable copy of what gossip tells, by deployment.
type board struct {
	changes uint64
	newest  map[string]Published
}

// Publish makes v the newest version of a deployment. Publishing the newest
// one again changes nothing; an older one is refused.
func (b *Board) Publish(deployment string, p Published) error {
	value, err := json.Marshal(p)
	if err != nil {
		return problem.Internal.With(err)
	}
	taken := b.State.Merge(gossip.Entry{
		Kind: gossip.KindWeights,
		Key:  deployment,
		Version: gossip.Version{
			Major: p.Version.Epoch,
			Minor: p.Version.Number,
		},
		Value: value,
	})
	newest, _ := b.Newest(deployment)
	if taken || newest.Version == p.Version {
		return nil
	}
	return problem.VersionBehind.Withf("version %v is behind the published %v", p.Version, newest.Version)
}

// Changes counts what was published, in the whole fleet.
func (b *Board) Changes() uint64 { return b.State.Changes(gossip.KindWeights) }

// Newest returns the newest published version of a deployment. It is asked on
// the path of each sample and takes no lock unless something was published.
func (b *Board) Newest(deployment string) (Published, bool) {
	changes := b.Changes()
	c := b.current.Load()
	if c == nil || c.changes != changes {
		c = b.read(changes)
		b.current.Store(c)
	}
	p, ok := c.newest[deployment]
	return p, ok
}

func (b *Board) read(changes uint64) *board {
	c := &board{
		changes: changes,
		newest:  make(map[string]Published),
	}
	for _, e := range b.State.List(gossip.KindWeights) {
		var p Published
		if json.Unmarshal(e.Value, &p) == nil {
			c.newest[e.Key] = p
		}
	}
	return c
}

package version

import (
	"encoding/json"
	"sync/atomic"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// Published is a published version of a model's weights and where they are stored.
type Published struct {
	Version Version `json:"version"`
	// Source is the name of the weights in the weight store.
	Source string `json:"source"`
}

// Table holds the newest published version of each deployment. A version is published
// at one instance and spreads by gossip.
type Table struct {
	State *gossip.State

	current atomic.Pointer[snapshot]
}

// snapshot is an immutable copy of the versions in the gossip state, by deployment.
type snapshot struct {
	// changes is the value of Table.Changes for which the copy was made.
	changes uint64
	newest  map[string]Published
}

// Publish makes p the newest version of a deployment. Publishing the newest version
// again changes nothing; an older one fails with VersionBehind.
func (t *Table) Publish(deployment string, p Published) error {
	value, err := json.Marshal(p)
	if err != nil {
		return problem.Internal.With(err)
	}
	merged := t.State.Merge(gossip.Entry{
		Kind: gossip.KindWeights,
		Key:  deployment,
		Version: gossip.Version{
			Major: p.Version.Epoch,
			Minor: p.Version.Number,
		},
		Value: value,
	})
	newest, _ := t.Newest(deployment)
	if merged || newest.Version == p.Version {
		return nil
	}
	return problem.VersionBehind.Withf("version %v is behind the published %v", p.Version, newest.Version)
}

// Changes returns a counter that rises with each change of the published versions of
// all deployments.
func (t *Table) Changes() uint64 { return t.State.ChangeCount(gossip.KindWeights) }

// Newest returns the newest published version of a deployment. It is on the path of
// every sample and takes no lock unless a version was published since the last call.
func (t *Table) Newest(deployment string) (Published, bool) {
	changes := t.Changes()
	c := t.current.Load()
	if c == nil || c.changes != changes {
		c = t.buildSnapshot(changes)
		t.current.Store(c)
	}
	p, ok := c.newest[deployment]
	return p, ok
}

// buildSnapshot copies the published versions from the gossip state.
func (t *Table) buildSnapshot(changes uint64) *snapshot {
	c := &snapshot{
		changes: changes,
		newest:  make(map[string]Published),
	}
	for _, e := range t.State.List(gossip.KindWeights) {
		var p Published
		if json.Unmarshal(e.Value, &p) == nil {
			c.newest[e.Key] = p
		}
	}
	return c
}

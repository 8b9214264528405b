package version

import (
	"encoding/json"

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

// Newest returns the newest published version of a deployment.
func (b *Board) Newest(deployment string) (Published, bool) {
	e, ok := b.State.Find(gossip.KindWeights, deployment)
	if !ok {
		return Published{}, false
	}
	var p Published
	if json.Unmarshal(e.Value, &p) != nil {
		return Published{}, false
	}
	return p, true
}

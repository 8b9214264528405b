package demand

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
)

// ttlSeconds is the time, in seconds, after which a demand expires unless it is
// published again.
const ttlSeconds = 3600

// Demand is the demand of a trainer's session for samples of a deployment.
type Demand struct {
	Trainer    string  `json:"trainer"`
	Session    uint64  `json:"-"`
	Instance   string  `json:"instance"`
	Deployment string  `json:"deployment"`
	Weight     float64 `json:"weight"`
	// Busy is set while the session has attempts to start.
	Busy bool `json:"busy"`
}

// Table gives access to the demands of all trainers in the gossip state.
type Table struct {
	State *gossip.State

	current atomic.Pointer[snapshot]
}

// snapshot is an immutable copy of the demands in the gossip state.
type snapshot struct {
	// changes is the change count of the gossip state at the time of the copy.
	changes uint64
	list    []Demand
}

// Publish publishes a demand. A demand of the trainer's later session replaces it.
func (t *Table) Publish(d Demand) {
	value, err := json.Marshal(d)
	if err != nil {
		return
	}
	old, _ := t.State.Find(gossip.KindDemand, d.Trainer)
	minor := uint64(0)
	if old.Version.Major == d.Session {
		minor = old.Version.Minor + 1
	}
	t.State.Merge(gossip.Entry{
		Kind: gossip.KindDemand,
		Key:  d.Trainer,
		Version: gossip.Version{
			Major: d.Session,
			Minor: minor,
		},
		Value:   value,
		Expires: time.Now().Unix() + ttlSeconds,
	})
}

// Share returns the share of a deployment's engines that a trainer may claim while
// their capacity is short: its weight divided by the sum of its weight and those
// of all other busy trainers whose instance is not dead.
func (t *Table) Share(deployment, trainer string, weight float64, view *member.View) float64 {
	sum := weight
	for _, d := range t.demands() {
		if d.Deployment != deployment || d.Trainer == trainer || !d.Busy {
			continue
		}
		if m, ok := view.Find(d.Instance); ok && m.Status != member.Dead {
			sum += d.Weight
		}
	}
	return weight / sum
}

// demands returns the demands of all trainers. The list is rebuilt only after a
// change of the gossip state.
func (t *Table) demands() []Demand {
	changes := t.State.ChangeCount(gossip.KindDemand)
	c := t.current.Load()
	if c != nil && c.changes == changes {
		return c.list
	}
	c = &snapshot{
		changes: changes,
	}
	for _, e := range t.State.List(gossip.KindDemand) {
		var d Demand
		if json.Unmarshal(e.Value, &d) == nil {
			c.list = append(c.list, d)
		}
	}
	t.current.Store(c)
	return c.list
}

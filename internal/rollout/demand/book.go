package demand

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
)

// ttl is after how many seconds a demand is forgotten that nobody renewed.
const ttl = 3600

// Demand is what one trainer's session wants.
type Demand struct {
	Trainer    string  `json:"trainer"`
	Session    uint64  `json:"-"`
	Instance   string  `json:"instance"`
	Deployment string  `json:"deployment"`
	Weight     float64 `json:"weight"`
	Busy       bool    `json:"busy"`
}

// Book keeps the demands of the fleet.
type Book struct {
	State *gossip.State

	current atomic.Pointer[copied]
}

// copied is an immutable copy of what gossip tells.
type copied struct {
	changes uint64
	list    []Demand
}

// Tell spreads a demand. A later session of the trainer overrides it.
func (b *Book) Tell(d Demand) {
	value, err := json.Marshal(d)
	if err != nil {
		return
	}
	old, _ := b.State.Find(gossip.KindDemand, d.Trainer)
	minor := uint64(0)
	if old.Version.Major == d.Session {
		minor = old.Version.Minor + 1
	}
	b.State.Merge(gossip.Entry{
		Kind: gossip.KindDemand,
		Key:  d.Trainer,
		Version: gossip.Version{
			Major: d.Session,
			Minor: minor,
		},
		Value:   value,
		Expires: time.Now().Unix() + ttl,
	})
}

// Share returns the share of a deployment's engines that a trainer may claim
// while they are short: its weight against those of all busy trainers whose
// instance lives.
func (b *Book) Share(deployment, trainer string, weight float64, view *member.View) float64 {
	sum := weight
	for _, d := range b.list() {
		if d.Deployment != deployment || d.Trainer == trainer || !d.Busy {
			continue
		}
		if m, ok := view.Find(d.Instance); ok && m.Status != member.Dead {
			sum += d.Weight
		}
	}
	return weight / sum
}

func (b *Book) list() []Demand {
	changes := b.State.Changes(gossip.KindDemand)
	c := b.current.Load()
	if c != nil && c.changes == changes {
		return c.list
	}
	c = &copied{
		changes: changes,
	}
	for _, e := range b.State.List(gossip.KindDemand) {
		var d Demand
		if json.Unmarshal(e.Value, &d) == nil {
			c.list = append(c.list, d)
		}
	}
	b.current.Store(c)
	return c.list
}

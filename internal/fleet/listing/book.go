package listing

import (
	"encoding/json"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/outside/roster"
)

// How long entries are remembered, in seconds.
const (
	// leavingTTL outlives any upstream that is told to leave.
	leavingTTL = 24 * 3600
	// goneTTL is for upstreams that left the list.
	goneTTL = 3600
)

// Book is the list as gossip tells it.
type Book struct {
	State *gossip.State

	decoded gossip.Decoded[presence]
}

// presence is the value of an upstream entry. The minor version counts its
// changes within one incarnation.
type presence struct {
	Instance roster.Instance `json:"instance"`
	Gone     bool            `json:"gone,omitempty"`
}

// List returns the upstreams that are present, with their leaving marks.
func (b *Book) List() []roster.Instance {
	leaving := make(map[string]uint64)
	for _, e := range b.State.List(gossip.KindLeaving) {
		leaving[e.Key] = e.Version.Major
	}
	all := b.decoded.List(b.State, gossip.KindUpstream, decode)
	list := make([]roster.Instance, 0, len(all))
	for _, p := range all {
		if p.Gone {
			continue
		}
		in := p.Instance
		in.Leaving = leaving[in.ID] >= in.Incarnation && leaving[in.ID] > 0
		list = append(list, in)
	}
	return list
}

// Changes counts what could change List.
func (b *Book) Changes() uint64 {
	return b.State.Changes(gossip.KindUpstream) + b.State.Changes(gossip.KindLeaving)
}

// MarkLeaving says that an incarnation of an upstream is leaving. It reports
// whether that was news.
func (b *Book) MarkLeaving(id string, incarnation uint64) bool {
	return b.State.Merge(gossip.Entry{
		Kind: gossip.KindLeaving,
		Key:  id,
		Version: gossip.Version{
			Major: incarnation,
		},
		Expires: time.Now().Unix() + leavingTTL,
	})
}

// MarkLeavingByID marks the present incarnation of an upstream and reports
// whether there is such an upstream.
func (b *Book) MarkLeavingByID(id string) bool {
	e, ok := b.State.Find(gossip.KindUpstream, id)
	if !ok {
		return false
	}
	b.MarkLeaving(id, e.Version.Major)
	return true
}

// Seen takes an upstream from the platform's list. It reports whether that was
// news.
func (b *Book) Seen(in roster.Instance) bool {
	news := false
	if in.Leaving {
		news = b.MarkLeaving(in.ID, in.Incarnation)
	}
	in.Leaving = false
	old, ok := b.State.Find(gossip.KindUpstream, in.ID)
	if ok && old.Version.Major > in.Incarnation {
		return news
	}
	minor := uint64(0)
	if ok && old.Version.Major == in.Incarnation {
		p, valid := decode(old)
		if valid && !p.Gone && p.Instance == in {
			return news
		}
		minor = old.Version.Minor + 1
	}
	return b.put(presence{
		Instance: in,
	}, minor, 0) || news
}

// Missing takes that an upstream is no longer in the platform's list.
func (b *Book) Missing(in roster.Instance) bool {
	old, ok := b.State.Find(gossip.KindUpstream, in.ID)
	if !ok || old.Version.Major != in.Incarnation {
		return false
	}
	return b.put(presence{
		Instance: in,
		Gone:     true,
	}, old.Version.Minor+1, time.Now().Unix()+goneTTL)
}

func (b *Book) put(p presence, minor uint64, expires int64) bool {
	value, err := json.Marshal(p)
	if err != nil {
		return false
	}
	return b.State.Merge(gossip.Entry{
		Kind: gossip.KindUpstream,
		Key:  p.Instance.ID,
		Version: gossip.Version{
			Major: p.Instance.Incarnation,
			Minor: minor,
		},
		Value:   value,
		Expires: expires,
	})
}

func decode(e gossip.Entry) (presence, bool) {
	var p presence
	if json.Unmarshal(e.Value, &p) != nil {
		return presence{}, false
	}
	return p, true
}

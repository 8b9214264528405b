package listing

import (
	"encoding/json"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/outside/roster"
)

// Lifetimes of gossip entries in seconds.
const (
	// leavingTTLSeconds is longer than any upstream takes to leave.
	leavingTTLSeconds = 24 * 3600
	// goneTTLSeconds applies to upstreams that were removed from the list.
	goneTTLSeconds = 3600
)

// Table reads and writes the instance list in the gossip state.
type Table struct {
	State *gossip.State

	decoded gossip.DecodeCache[upstreamEntry]
}

// upstreamEntry is the value of a gossip entry of kind upstream. The entry's major
// version is the incarnation, and its minor version counts the changes within it.
type upstreamEntry struct {
	Instance roster.Instance `json:"instance"`
	Gone     bool            `json:"gone,omitempty"`
}

// List returns the upstreams that are in the list, with their leaving marks.
func (t *Table) List() []roster.Instance {
	leaving := make(map[string]uint64)
	for _, e := range t.State.List(gossip.KindLeaving) {
		leaving[e.Key] = e.Version.Major
	}
	all := t.decoded.List(t.State, gossip.KindUpstream, decodeEntry)
	list := make([]roster.Instance, 0, len(all))
	for _, entry := range all {
		if entry.Gone {
			continue
		}
		in := entry.Instance
		in.Leaving = leaving[in.ID] >= in.Incarnation && leaving[in.ID] > 0
		list = append(list, in)
	}
	return list
}

// Changes returns a counter that rises when the result of List may have changed.
func (t *Table) Changes() uint64 {
	return t.State.ChangeCount(gossip.KindUpstream) + t.State.ChangeCount(gossip.KindLeaving)
}

// MarkLeaving marks an incarnation of an upstream as leaving. It reports whether the
// mark is new.
func (t *Table) MarkLeaving(id string, incarnation uint64) bool {
	return t.State.Merge(gossip.Entry{
		Kind: gossip.KindLeaving,
		Key:  id,
		Version: gossip.Version{
			Major: incarnation,
		},
		Expires: time.Now().Unix() + leavingTTLSeconds,
	})
}

// MarkLeavingByID marks the current incarnation of an upstream as leaving. It reports
// whether the upstream is known.
func (t *Table) MarkLeavingByID(id string) bool {
	e, ok := t.State.Find(gossip.KindUpstream, id)
	if !ok {
		return false
	}
	t.MarkLeaving(id, e.Version.Major)
	return true
}

// Upsert records an upstream that is in the platform's list. It reports whether that
// changed anything.
func (t *Table) Upsert(in roster.Instance) bool {
	changed := false
	if in.Leaving {
		changed = t.MarkLeaving(in.ID, in.Incarnation)
	}
	in.Leaving = false
	old, ok := t.State.Find(gossip.KindUpstream, in.ID)
	if ok && old.Version.Major > in.Incarnation {
		return changed
	}
	minor := uint64(0)
	if ok && old.Version.Major == in.Incarnation {
		entry, valid := decodeEntry(old)
		if valid && !entry.Gone && entry.Instance == in {
			return changed
		}
		minor = old.Version.Minor + 1
	}
	return t.mergeEntry(upstreamEntry{
		Instance: in,
	}, minor, 0) || changed
}

// MarkGone records that an upstream is no longer in the platform's list. It reports
// whether that changed anything.
func (t *Table) MarkGone(in roster.Instance) bool {
	old, ok := t.State.Find(gossip.KindUpstream, in.ID)
	if !ok || old.Version.Major != in.Incarnation {
		return false
	}
	return t.mergeEntry(upstreamEntry{
		Instance: in,
		Gone:     true,
	}, old.Version.Minor+1, time.Now().Unix()+goneTTLSeconds)
}

// mergeEntry writes an entry with the given minor version and expiry, a Unix time in
// seconds, to the gossip state.
func (t *Table) mergeEntry(entry upstreamEntry, minor uint64, expires int64) bool {
	value, err := json.Marshal(entry)
	if err != nil {
		return false
	}
	return t.State.Merge(gossip.Entry{
		Kind: gossip.KindUpstream,
		Key:  entry.Instance.ID,
		Version: gossip.Version{
			Major: entry.Instance.Incarnation,
			Minor: minor,
		},
		Value:   value,
		Expires: expires,
	})
}

func decodeEntry(e gossip.Entry) (upstreamEntry, bool) {
	var entry upstreamEntry
	if json.Unmarshal(e.Value, &entry) != nil {
		return upstreamEntry{}, false
	}
	return entry, true
}

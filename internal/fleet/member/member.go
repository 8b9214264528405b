package member

import (
	"encoding/json"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
)

// Status is the liveness of an instance as the fleet sees it.
type Status uint8

// The statuses in order of precedence: for the same sequence number of the
// owner, a later status overrides an earlier one.
const (
	Alive Status = iota
	Suspect
	Dead
	statusCount
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Member describes one instance. Its Incarnation, Sequence and Status are
// encoded in the version of its gossip entry, the other fields in the value.
type Member struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"-"`
	Sequence      uint64 `json:"-"`
	Status        Status `json:"-"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer_address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// WithStatus returns a copy with another status.
func (m Member) WithStatus(s Status) Member {
	m.Status = s
	return m
}

// WithLeaving returns a copy that is leaving, with the next sequence number.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	m.Sequence++
	return m
}

// Usable reports whether the instance may receive new work.
func (m Member) Usable() bool { return m.Status == Alive && !m.Leaving }

// DeadTTL is the number of seconds for which the entry of a dead instance is
// kept, so that the two sides of a network partition can find each other again.
const DeadTTL = 3600

// Entry returns the gossip entry of the member. now is the wall-clock time in
// Unix seconds.
func (m Member) Entry(now int64) gossip.Entry {
	value, err := json.Marshal(m)
	if err != nil {
		value = nil
	}
	e := gossip.Entry{
		Kind: gossip.KindMember,
		Key:  m.ID,
		Version: gossip.Version{
			Major: m.Incarnation,
			Minor: m.Sequence*uint64(statusCount) + uint64(m.Status),
		},
		Value: value,
	}
	if m.Status == Dead {
		e.Expires = now + DeadTTL
	}
	return e
}

// FromEntry decodes a gossip entry. It returns false if the entry is not valid.
func FromEntry(e gossip.Entry) (Member, bool) {
	var m Member
	if json.Unmarshal(e.Value, &m) != nil || m.ID != e.Key {
		return Member{}, false
	}
	m.Incarnation = e.Version.Major
	m.Sequence = e.Version.Minor / uint64(statusCount)
	m.Status = Status(e.Version.Minor % uint64(statusCount))
	return m, true
}

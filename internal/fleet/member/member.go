package member

import (
	"encoding/json"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
)

// Status is what the fleet believes about an instance.
type Status uint8

// The statuses, in the order in which they override each other for the same
// sequence number of the owner.
const (
	Alive Status = iota
	Suspect
	Dead
	statusCount
)

// String returns the status' name.
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

// Member is one instance as gossip tells it.
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

// Usable reports whether new work may be given to the instance.
func (m Member) Usable() bool { return m.Status == Alive && !m.Leaving }

// DeadTTL is for how many seconds a dead instance is remembered, so that two
// sides of a cut find each other again.
const DeadTTL = 3600

// Entry returns the member as a gossip entry. now is the wall time in Unix
// seconds.
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

// FromEntry returns the member that a gossip entry tells.
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

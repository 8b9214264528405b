package member

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Parameters of the failure detector.
const (
	// MaxMissedCalls is the number of calls in a row that must fail before an
	// instance becomes suspect.
	MaxMissedCalls = 3
	// SuspicionTimeout is how long a suspect has to refute the suspicion before it
	// is declared dead.
	SuspicionTimeout = 3 * time.Second
)

// Table maintains one instance's view of the fleet on top of its gossip state,
// and detects failed instances.
type Table struct {
	State *gossip.State
	Timer timer.Service

	mu   sync.Mutex
	self Member
	// missedCalls counts the calls in a row that each instance did not answer.
	missedCalls map[string]int
	suspicions  map[string]suspicion
	// loads holds the last reported load of each instance.
	loads map[string]float64

	view    atomic.Pointer[View]
	decoded gossip.DecodeCache[Member]
}

// suspicion is a suspected version of a member's entry, and when it was first
// seen.
type suspicion struct {
	version gossip.Version
	since   timer.Instant
}

// Join adds self to the fleet.
func (t *Table) Join(self Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = self
	t.State.Merge(self.Entry(wallSeconds()))
}

// Leave marks self as leaving. The mark can't be removed from this incarnation.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Leaving {
		return
	}
	t.self = t.self.WithLeaving()
	t.State.Merge(t.self.Entry(wallSeconds()))
}

// Self returns this instance.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// View returns the current view, which is rebuilt only after a change.
func (t *Table) View() *View {
	changes := t.State.ChangeCount(gossip.KindMember)
	if v := t.view.Load(); v != nil && v.changeCount == changes {
		return v
	}
	v := newView(t.Self(), t.decoded.List(t.State, gossip.KindMember, FromEntry))
	v.changeCount = changes
	t.view.Store(v)
	return v
}

// RecordReply records that an instance answered, and the load that it reported.
func (t *Table) RecordReply(id string, load float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.missedCalls, id)
	if t.loads == nil {
		t.loads = make(map[string]float64)
	}
	t.loads[id] = load
}

// Load returns the load that an instance reported last, from 0 to 1.
func (t *Table) Load(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loads[id]
}

// RecordMiss records that an instance did not answer, and marks it as suspect after
// MaxMissedCalls misses in a row. It reports whether this call made it suspect.
func (t *Table) RecordMiss(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.missedCalls == nil {
		t.missedCalls = make(map[string]int)
	}
	t.missedCalls[id]++
	if t.missedCalls[id] < MaxMissedCalls {
		return false
	}
	e, ok := t.State.Find(gossip.KindMember, id)
	if !ok {
		return false
	}
	m, ok := FromEntry(e)
	if !ok || m.Status != Alive {
		return false
	}
	return t.State.Merge(m.WithStatus(Suspect).Entry(wallSeconds()))
}

// ResetMisses clears the counts of missed calls of all instances. It is called
// after this process itself was paused: calls that failed during the pause say
// nothing about the other instances.
func (t *Table) ResetMisses() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.missedCalls = nil
}

// Tick refutes any suspicion of self, and declares dead the suspects that did
// not refute theirs within SuspicionTimeout. It returns the latter.
func (t *Table) Tick() []Member {
	view := t.View()
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refute(view)
	var dead []Member
	for _, m := range view.Known {
		if m.Status != Suspect || m.ID == t.self.ID {
			delete(t.suspicions, m.ID)
			continue
		}
		if t.suspicionExpired(m, now) {
			t.State.Merge(m.WithStatus(Dead).Entry(wallSeconds()))
			dead = append(dead, m)
		}
	}
	return dead
}

// refute publishes a higher sequence number of self if the view has self as
// suspect or dead, or under another incarnation.
func (t *Table) refute(view *View) {
	seen, ok := view.Find(t.self.ID)
	if !ok || (seen.Incarnation == t.self.Incarnation && seen.Status == Alive) {
		return
	}
	t.self.Sequence = max(t.self.Sequence, seen.Sequence) + 1
	// A higher incarnation of this name belongs to a newer process, or to an
	// older one whose clock ran ahead. Only one process can serve this address,
	// and this one is running.
	t.self.Incarnation = max(t.self.Incarnation, seen.Incarnation)
	t.State.Merge(t.self.Entry(wallSeconds()))
}

// suspicionExpired reports whether a member has been suspect for SuspicionTimeout.
// The time starts at the first call for that version of its entry.
func (t *Table) suspicionExpired(m Member, now timer.Instant) bool {
	version := m.Entry(0).Version
	s, ok := t.suspicions[m.ID]
	if !ok || s.version != version {
		if t.suspicions == nil {
			t.suspicions = make(map[string]suspicion)
		}
		t.suspicions[m.ID] = suspicion{
			version: version,
			since:   now,
		}
		return false
	}
	return now.Sub(s.since) >= SuspicionTimeout
}

// wallSeconds returns the wall-clock time in Unix seconds, by which entries
// expire.
func wallSeconds() int64 { return time.Now().Unix() }

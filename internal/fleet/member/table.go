package member

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// How failures are found.
const (
	// StrikeLimit is how many calls in a row must fail before an instance is
	// suspected.
	StrikeLimit = 3
	// SuspicionTime is how long a suspect may answer before it counts as dead.
	SuspicionTime = 3 * time.Second
)

// Table is one instance's view of the fleet over a gossip state.
type Table struct {
	State *gossip.State
	Timer timer.Service

	mu       sync.Mutex
	self     Member
	strikes  map[string]int
	suspects map[string]suspicion
	loads    map[string]float64

	view    atomic.Pointer[View]
	decoded gossip.Decoded[Member]
}

type suspicion struct {
	version gossip.Version
	since   timer.Instant
}

// Join makes self part of the fleet.
func (t *Table) Join(self Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = self
	t.State.Merge(self.Entry(wallSeconds()))
}

// Leave marks self as leaving. It sticks to this incarnation.
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

// View returns the current view. It is rebuilt only after a change.
func (t *Table) View() *View {
	gen := t.State.Changes(gossip.KindMember)
	if v := t.view.Load(); v != nil && v.generation == gen {
		return v
	}
	v := newView(t.Self(), t.decoded.List(t.State, gossip.KindMember, FromEntry))
	v.generation = gen
	t.view.Store(v)
	return v
}

// Reached notes that an instance answered, and the load that it told.
func (t *Table) Reached(id string, load float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.strikes, id)
	if t.loads == nil {
		t.loads = make(map[string]float64)
	}
	t.loads[id] = load
}

// Load returns the load that an instance told last, from 0 to 1.
func (t *Table) Load(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loads[id]
}

// Missed notes that an instance did not answer, and suspects it after
// StrikeLimit times in a row. It reports whether it became suspect now.
func (t *Table) Missed(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.strikes == nil {
		t.strikes = make(map[string]int)
	}
	t.strikes[id]++
	if t.strikes[id] < StrikeLimit {
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

// Forgive clears all strikes. It is called after this process itself was
// paused: the calls that failed then tell nothing about the others.
func (t *Table) Forgive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.strikes = nil
}

// Tick answers suspicions of self and turns suspects whose time ran out into
// dead ones. It returns those.
func (t *Table) Tick() []Member {
	view := t.View()
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refute(view)
	var died []Member
	for _, m := range view.Known {
		if m.Status != Suspect || m.ID == t.self.ID {
			delete(t.suspects, m.ID)
			continue
		}
		if t.overdue(m, now) {
			t.State.Merge(m.WithStatus(Dead).Entry(wallSeconds()))
			died = append(died, m)
		}
	}
	return died
}

func (t *Table) refute(view *View) {
	seen, ok := view.Find(t.self.ID)
	if !ok || (seen.Incarnation == t.self.Incarnation && seen.Status == Alive) {
		return
	}
	t.self.Sequence = max(t.self.Sequence, seen.Sequence) + 1
	// A higher incarnation under this name is a younger process, or an older
	// one whose clock ran ahead. Only one of the two can be in use at this
	// address, and it is this one that is running.
	t.self.Incarnation = max(t.self.Incarnation, seen.Incarnation)
	t.State.Merge(t.self.Entry(wallSeconds()))
}

func (t *Table) overdue(m Member, now timer.Instant) bool {
	version := m.Entry(0).Version
	s, ok := t.suspects[m.ID]
	if !ok || s.version != version {
		if t.suspects == nil {
			t.suspects = make(map[string]suspicion)
		}
		t.suspects[m.ID] = suspicion{
			version: version,
			since:   now,
		}
		return false
	}
	return now.Sub(s.since) >= SuspicionTime
}

// wallSeconds is the wall time for the expiry of entries.
func wallSeconds() int64 { return time.Now().Unix() }

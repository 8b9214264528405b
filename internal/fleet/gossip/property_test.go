package gossip_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// oracle holds the highest version of each key.
type oracle map[string]gossip.Version

const states = 4

// simulation runs exchanges between several states.
type simulation struct {
	t       *rapid.T
	states  []*gossip.State
	seen    []oracle
	highest oracle
	// lastWins makes a state keep only the entries that it received last.
	lastWins bool
}

func newSimulation(t *rapid.T, lastWins bool) *simulation {
	w := &simulation{
		t:        t,
		highest:  make(oracle),
		lastWins: lastWins,
	}
	for range states {
		w.states = append(w.states, &gossip.State{})
		w.seen = append(w.seen, make(oracle))
	}
	return w
}

// add stores a new version of a key at one state.
func (w *simulation) add(i int, key string, v gossip.Version) {
	e := gossip.Entry{
		Kind:    gossip.KindLeaving,
		Key:     key,
		Version: v,
	}
	w.merge(i, []gossip.Entry{e})
	if w.highest[key].Less(v) {
		w.highest[key] = v
	}
}

func (w *simulation) merge(i int, list []gossip.Entry) {
	if w.lastWins {
		w.states[i] = &gossip.State{}
	}
	w.states[i].MergeAll(list)
}

// exchange runs one exchange. lost is the message that does not arrive: "answer"
// is the first reply, "second" the second message; empty loses none.
func (w *simulation) exchange(from, to int, lost string) {
	args := w.states[from].NewExchange("a")
	reply := w.states[to].HandleArgs(args, 0)
	if lost == "answer" {
		return
	}
	next, more := w.states[from].HandleReply("a", reply, 0)
	if more && lost != "second" {
		reply = w.states[to].HandleArgs(next, 0)
		w.states[from].HandleReply("a", reply, 0)
	}
}

// checkMonotonic checks that no state lost an entry or replaced it by an older
// version since the last check.
func (w *simulation) checkMonotonic() {
	for i, s := range w.states {
		for _, e := range s.List(gossip.KindLeaving) {
			if e.Version.Less(w.seen[i][e.Key]) {
				w.t.Fatalf("state %d lowered %s from %v to %v", i, e.Key, w.seen[i][e.Key], e.Version)
			}
			w.seen[i][e.Key] = e.Version
		}
		for key := range w.seen[i] {
			if _, ok := s.Find(gossip.KindLeaving, key); !ok {
				w.t.Fatalf("state %d lost %s", i, key)
			}
		}
	}
}

// converge runs exchanges in a ring, and checks that all states then have the
// highest version of every key. The transmissions of fresh entries are used up
// by then, so only the comparison of digests can deliver the rest.
func (w *simulation) converge() {
	for range 3 * states {
		for i := range states {
			w.exchange(i, (i+1)%states, "")
		}
	}
	for i, s := range w.states {
		for key, v := range w.highest {
			if e, _ := s.Find(gossip.KindLeaving, key); e.Version != v {
				w.t.Fatalf("state %d has version %v of %s, want %v", i, e.Version, key, v)
			}
		}
	}
}

// historyProperty returns a property that runs random exchanges with lost messages.
func historyProperty(lastWins bool) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newSimulation(t, lastWins)
		anyState := rapid.IntRange(0, states-1)
		t.Repeat(map[string]func(*rapid.T){
			"tell": func(t *rapid.T) {
				w.add(anyState.Draw(t, "state"), fmt.Sprintf("u%d", rapid.IntRange(0, 200).Draw(t, "key")), gossip.Version{
					Major: rapid.Uint64Range(1, 3).Draw(t, "major"),
					Minor: rapid.Uint64Range(0, 3).Draw(t, "minor"),
				})
			},
			"exchange": func(t *rapid.T) {
				w.exchange(anyState.Draw(t, "from"), anyState.Draw(t, "to"),
					rapid.SampledFrom([]string{"", "answer", "second"}).Draw(t, "lost"))
			},
			"": func(*rapid.T) { w.checkMonotonic() },
		})
		if !lastWins {
			w.converge()
		}
	}
}

// Messages between instances are lost, repeated and reordered, and parts of the
// fleet can't reach each other for a while. A leaving mark must not disappear
// again, and must reach every instance.
func TestVersionsNeverDecreaseAndReachAll(t *testing.T) {
	property.Check(t, historyProperty(false))
}

// A state that keeps only the entries that it received last loses the others.
func TestLastWriteWinsLosesEntries(t *testing.T) {
	property.CheckFails(t, historyProperty(true))
}

package gossip_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

// oracle is the highest version of each key that anyone ever told.
type oracle map[string]gossip.Version

const states = 4

type world struct {
	t      *rapid.T
	states []*gossip.State
	seen   []oracle
	all    oracle
	// plain replaces the merge by "the last one wins".
	plain bool
}

func newWorld(t *rapid.T, plain bool) *world {
	w := &world{
		t:     t,
		all:   make(oracle),
		plain: plain,
	}
	for range states {
		w.states = append(w.states, &gossip.State{})
		w.seen = append(w.seen, make(oracle))
	}
	return w
}

func (w *world) tell(i int, key string, v gossip.Version) {
	e := gossip.Entry{
		Kind:    gossip.KindLeaving,
		Key:     key,
		Version: v,
	}
	w.merge(i, []gossip.Entry{e})
	if w.all[key].Less(v) {
		w.all[key] = v
	}
}

func (w *world) merge(i int, list []gossip.Entry) {
	if w.plain {
		w.states[i] = &gossip.State{}
	}
	w.states[i].MergeAll(list)
}

// exchange runs one exchange, of which the answer or the second message may be
// lost.
func (w *world) exchange(from, to int, lost string) {
	args := w.states[from].Ask("a")
	reply := w.states[to].Answer(args, 0)
	if lost == "answer" {
		return
	}
	next, more := w.states[from].Take("a", reply, 0)
	if more && lost != "second" {
		reply = w.states[to].Answer(next, 0)
		w.states[from].Take("a", reply, 0)
	}
}

func (w *world) check() {
	for i, s := range w.states {
		for _, e := range s.List(gossip.KindLeaving) {
			if e.Version.Less(w.seen[i][e.Key]) {
				w.t.Fatalf("state %d went back on %s from %v to %v", i, e.Key, w.seen[i][e.Key], e.Version)
			}
			w.seen[i][e.Key] = e.Version
		}
		for key := range w.seen[i] {
			if _, ok := s.Find(gossip.KindLeaving, key); !ok {
				w.t.Fatalf("state %d forgot %s", i, key)
			}
		}
	}
}

// settle exchanges around until all have the same. Fresh entries are used up
// by then, so only the digests can bring the rest.
func (w *world) settle() {
	for range 3 * states {
		for i := range states {
			w.exchange(i, (i+1)%states, "")
		}
	}
	for i, s := range w.states {
		for key, v := range w.all {
			if e, _ := s.Find(gossip.KindLeaving, key); e.Version != v {
				w.t.Fatalf("state %d has %v of %s, not %v", i, e.Version, key, v)
			}
		}
	}
}

func history(plain bool) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, plain)
		which := rapid.IntRange(0, states-1)
		t.Repeat(map[string]func(*rapid.T){
			"tell": func(t *rapid.T) {
				w.tell(which.Draw(t, "state"), fmt.Sprintf("u%d", rapid.IntRange(0, 200).Draw(t, "key")), gossip.Version{
					Major: rapid.Uint64Range(1, 3).Draw(t, "major"),
					Minor: rapid.Uint64Range(0, 3).Draw(t, "minor"),
				})
			},
			"exchange": func(t *rapid.T) {
				w.exchange(which.Draw(t, "from"), which.Draw(t, "to"),
					rapid.SampledFrom([]string{"", "answer", "second"}).Draw(t, "lost"))
			},
			"": func(*rapid.T) { w.check() },
		})
		if !plain {
			w.settle()
		}
	}
}

// Messages between instances are lost, repeated and come in any order, and
// parts of the fleet don't hear each other for a while. An operator would
// notice a leaving mark that is gone again or never arrives somewhere.
func TestFactsOnlyGoUpAndReachAll(t *testing.T) {
	proof.Check(t, history(false))
}

// A state that keeps only what it heard last forgets facts.
func TestLastOneWinsForgets(t *testing.T) {
	proof.Refute(t, history(true))
}

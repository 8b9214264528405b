package configuration_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

// mechanisms are what the proofs switch off, one at a time.
type mechanisms struct {
	trustLost bool // a lost answer is told as "not accepted"
	goBack    bool // a holder takes whatever the service answers
}

// store is a key-value service that fails as the test says. An operation that
// takes effect late is kept until the test lets it arrive.
type store struct {
	item  keyvalue.Item
	older keyvalue.Item
	rev   uint64
	fate  string
	late  []func()
}

// Get implements keyvalue.Store.
func (s *store) Get(context.Context, string) (keyvalue.Item, error) {
	switch {
	case s.fate == "down":
		return keyvalue.Item{}, keyvalue.ErrDown
	case s.fate == "stale" && s.older.Revision > 0:
		return s.older, nil
	case s.item.Revision == 0:
		return keyvalue.Item{}, keyvalue.ErrNotFound
	}
	return s.item, nil
}

// Put implements keyvalue.Store. Each fate holds for one write.
func (s *store) Put(_ context.Context, key string, value []byte, expect, _ uint64) (uint64, error) {
	fate := s.fate
	if fate != "stale" {
		s.fate = ""
	}
	switch fate {
	case "down":
		s.fate = "down"
		return 0, keyvalue.ErrDown
	case "lost_before":
		return 0, keyvalue.ErrLost
	case "late":
		s.late = append(s.late, func() { _, _ = s.apply(key, value, expect) })
		return 0, keyvalue.ErrLost
	case "lost_after":
		_, _ = s.apply(key, value, expect)
		return 0, keyvalue.ErrLost
	}
	return s.apply(key, value, expect)
}

func (s *store) apply(key string, value []byte, expect uint64) (uint64, error) {
	if s.item.Revision != expect {
		return 0, keyvalue.ErrConflict
	}
	s.rev += 3
	s.older = s.item
	s.item = keyvalue.Item{
		Key:      key,
		Value:    value,
		Revision: s.rev,
	}
	return s.rev, nil
}

// Watch implements keyvalue.Store.
func (s *store) Watch(context.Context, string, uint64) (keyvalue.Item, error) {
	return keyvalue.Item{}, keyvalue.ErrNoChange
}

// Grant implements keyvalue.Store.
func (s *store) Grant(context.Context, time.Duration) (uint64, error) { return 0, keyvalue.ErrDown }

// KeepAlive implements keyvalue.Store.
func (s *store) KeepAlive(context.Context, uint64) error { return keyvalue.ErrDown }

// Revoke implements keyvalue.Store.
func (s *store) Revoke(context.Context, uint64) error { return keyvalue.ErrDown }

func text(team string) []byte {
	return fmt.Appendf(nil, `{"format": 1, "team": %q, "deployments": []}`, team)
}

const holders = 3

// world is a few instances, operators that race, and an oracle: which changes
// the service really took, in which order.
type world struct {
	t       *rapid.T
	off     mechanisms
	store   *store
	holders []*configuration.Holder
	highest []uint64
	serial  int
	open    []configuration.Change
	told    map[string]string
	history []porcupine.Operation
	clock   int64
}

func (w *world) editor(i int) *configuration.Editor {
	return &configuration.Editor{
		Store:  w.store,
		Holder: w.holders[i],
		Timer:  &timer.Manual{},
	}
}

// put lets an operator change the configuration from a revision that it saw.
func (w *world) put(i int, parent uint64) {
	w.serial++
	change := configuration.Change{
		ID:       fmt.Sprintf("c%d", w.serial),
		Operator: "an",
		Parent:   parent,
	}
	// A lost answer is settled while the deadline lasts; here there is one
	// try and no time.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.clock++
	called := w.clock
	doc, err := w.editor(i).Put(ctx, change, text(change.ID))
	w.clock++
	outcome := "accepted"
	if err != nil {
		outcome = string(problem.From(err).Kind.Outcome)
	}
	if w.off.trustLost && outcome == string(problem.Unknown) {
		outcome = string(problem.NotRun)
	}
	w.told[change.ID] = outcome
	if outcome == string(problem.Unknown) {
		w.open = append(w.open, change)
	}
	if outcome == "accepted" && doc.Revision <= parent {
		w.t.Fatalf("change %s was accepted as revision %d, made from %d", change.ID, doc.Revision, parent)
	}
	w.note(called, change, outcome, doc)
}

// note records a settled change for the check of the whole history.
func (w *world) note(called int64, change configuration.Change, outcome string, doc *configuration.Document) {
	if outcome != "accepted" {
		return
	}
	w.history = append(w.history, porcupine.Operation{
		Input:  change.Parent,
		Call:   called,
		Output: doc.Revision,
		Return: w.clock,
	})
}

// find lets an operator ask what became of a change.
func (w *world) find(pick, i int) {
	if len(w.open) == 0 {
		return
	}
	change := w.open[pick%len(w.open)]
	_, err := w.editor(i).Find(context.Background(), change)
	outcome := "accepted"
	if err != nil {
		outcome = string(problem.From(err).Kind.Outcome)
	}
	if outcome != string(problem.Unknown) {
		w.told[change.ID] = outcome
	}
}

// follow lets an instance take what the service answers.
func (w *world) follow(i int) {
	item, err := w.store.Get(context.Background(), configuration.Key)
	if err != nil {
		return
	}
	doc, err := configuration.Decode(item.Value, item.Revision)
	if err != nil {
		w.t.Fatalf("decode: %v", err)
	}
	if w.off.goBack {
		w.holders[i] = &configuration.Holder{}
	}
	w.holders[i].Take(doc)
}

// gossip lets an instance fetch from another.
func (w *world) gossip(to, from int) {
	if d := w.holders[from].Current(); d != nil {
		w.holders[to].Take(d)
	}
}

// check holds what was told against what the service has.
func (w *world) check() {
	for i, h := range w.holders {
		if rev := h.Revision(); rev < w.highest[i] {
			w.t.Fatalf("instance %d went back from revision %d to %d", i, w.highest[i], rev)
		}
		w.highest[i] = h.Revision()
	}
	if w.store.item.Revision == 0 {
		return
	}
	doc, err := configuration.Decode(w.store.item.Value, w.store.item.Revision)
	if err != nil {
		w.t.Fatalf("decode: %v", err)
	}
	for id, told := range w.told {
		_, in := doc.Accepted(id)
		if told == "accepted" && !in {
			w.t.Fatalf("change %s was told accepted and is gone", id)
		}
		if told == string(problem.NotRun) && in {
			w.t.Fatalf("change %s was told refused and is in force", id)
		}
	}
}

// register is the model of a compare-and-swap register.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) { return state == input, output },
}

func history(off mechanisms) func(*rapid.T) {
	return func(t *rapid.T) {
		w := &world{
			t:       t,
			off:     off,
			store:   &store{},
			told:    make(map[string]string),
			highest: make([]uint64, holders),
		}
		for range holders {
			w.holders = append(w.holders, &configuration.Holder{})
		}
		which := rapid.IntRange(0, holders-1)
		pick := rapid.IntRange(0, 100)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				i := which.Draw(t, "instance")
				w.put(i, w.holders[i].Revision())
			},
			"put_other_view": func(t *rapid.T) {
				w.put(which.Draw(t, "instance"), w.holders[which.Draw(t, "seen_at")].Revision())
			},
			"find":   func(t *rapid.T) { w.find(pick.Draw(t, "change"), which.Draw(t, "instance")) },
			"follow": func(t *rapid.T) { w.follow(which.Draw(t, "instance")) },
			"gossip": func(t *rapid.T) { w.gossip(which.Draw(t, "to"), which.Draw(t, "from")) },
			"fate": func(t *rapid.T) {
				w.store.fate = rapid.SampledFrom([]string{"", "down", "stale", "lost_before", "lost_after", "late"}).Draw(t, "fate")
			},
			"arrive": func(*rapid.T) {
				for _, f := range w.store.late {
					f()
				}
				w.store.late = nil
			},
			"": func(*rapid.T) { w.check() },
		})
		w.chain()
	}
}

// chain checks the accepted changes of the history as those of one register.
// Changes of unknown outcome may stand between two accepted ones, so the
// parents are looked up in the service's own history.
func (w *world) chain() {
	if w.off != (mechanisms{}) || len(w.open) > 0 || len(w.store.late) > 0 {
		return
	}
	if !porcupine.CheckOperations(register, w.history) {
		w.t.Fatalf("the accepted changes are not those of one register: %v", w.history)
	}
}

// Operators race, the key-value service is down, answers with an older
// revision, applies a write late or loses its answer. An operator would notice
// a change that was told accepted and is not in force, or told refused and is.
func TestToldIsTrueAndNeverReverts(t *testing.T) {
	proof.CheckN(t, 400, history(mechanisms{}))
}

// An editor that takes a lost answer for a refusal tells an operator that a
// change was not made which is in force.
func TestLostAnswerIsNoRefusal(t *testing.T) {
	proof.Refute(t, history(mechanisms{
		trustLost: true,
	}))
}

// After an outage the service answers with an older revision. An instance that
// takes it undoes a change that was accepted.
func TestInstanceRevertsWithoutTheHolder(t *testing.T) {
	proof.Refute(t, history(mechanisms{
		goBack: true,
	}))
}

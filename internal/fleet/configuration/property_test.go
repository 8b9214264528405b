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
	"github.com/egretbend/egretbend/internal/standin/property"
)

// mutations are faults that the tests inject into the code under test, one at a time.
type mutations struct {
	lostAsRefused bool // a lost answer is reported as "not accepted"
	takeOlder     bool // a holder applies any revision that the service answers
}

// store is a key-value service that fails as the test chooses. A delayed write is kept
// until the test applies it.
type store struct {
	item     keyvalue.Item
	previous keyvalue.Item
	revision uint64
	fault    string
	delayed  []func()
}

// Get implements keyvalue.Store.
func (s *store) Get(context.Context, string) (keyvalue.Item, error) {
	switch {
	case s.fault == "down":
		return keyvalue.Item{}, keyvalue.ErrUnavailable
	case s.fault == "stale" && s.previous.Revision > 0:
		return s.previous, nil
	case s.item.Revision == 0:
		return keyvalue.Item{}, keyvalue.ErrNotFound
	}
	return s.item, nil
}

// Put implements keyvalue.Store. A fault applies to one write, except "down" and
// "stale", which stay.
func (s *store) Put(_ context.Context, key string, value []byte, expect, _ uint64) (uint64, error) {
	fault := s.fault
	if fault != "stale" {
		s.fault = ""
	}
	switch fault {
	case "down":
		s.fault = "down"
		return 0, keyvalue.ErrUnavailable
	case "lost_before":
		return 0, keyvalue.ErrOutcomeUnknown
	case "late":
		s.delayed = append(s.delayed, func() { _, _ = s.apply(key, value, expect) })
		return 0, keyvalue.ErrOutcomeUnknown
	case "lost_after":
		_, _ = s.apply(key, value, expect)
		return 0, keyvalue.ErrOutcomeUnknown
	}
	return s.apply(key, value, expect)
}

// apply carries out a write. Each one advances the revision by 3.
func (s *store) apply(key string, value []byte, expect uint64) (uint64, error) {
	if s.item.Revision != expect {
		return 0, keyvalue.ErrConflict
	}
	s.revision += 3
	s.previous = s.item
	s.item = keyvalue.Item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
	}
	return s.revision, nil
}

// Watch implements keyvalue.Store.
func (s *store) Watch(context.Context, string, uint64) (keyvalue.Item, error) {
	return keyvalue.Item{}, keyvalue.ErrNoChange
}

// Grant implements keyvalue.Store.
func (s *store) Grant(context.Context, time.Duration) (uint64, error) {
	return 0, keyvalue.ErrUnavailable
}

// KeepAlive implements keyvalue.Store.
func (s *store) KeepAlive(context.Context, uint64) error { return keyvalue.ErrUnavailable }

// Revoke implements keyvalue.Store.
func (s *store) Revoke(context.Context, uint64) error { return keyvalue.ErrUnavailable }

func configurationJSON(team string) []byte {
	return fmt.Appendf(nil, `{"format": 1, "team": %q, "deployments": []}`, team)
}

const holders = 3

// simulation runs a few instances and concurrent operators against one store, and
// records the outcomes reported to the operators to check them against the store.
type simulation struct {
	t           *rapid.T
	mutated     mutations
	store       *store
	holders     []*configuration.Holder
	highest     []uint64 // highest revision seen on each instance
	changeCount int
	unresolved  []configuration.Change // changes whose outcome was reported unknown
	reported    map[string]string      // outcome reported for each change ID
	history     []porcupine.Operation
	clock       int64
}

func (w *simulation) editor(i int) *configuration.Editor {
	return &configuration.Editor{
		Store:  w.store,
		Holder: w.holders[i],
		Timer:  &timer.Manual{},
	}
}

// putChange changes the configuration through instance i, based on a revision that the
// operator saw.
func (w *simulation) putChange(i int, parent uint64) {
	w.changeCount++
	change := configuration.Change{
		ID:       fmt.Sprintf("c%d", w.changeCount),
		Operator: "an",
		Parent:   parent,
	}
	// Put resolves a lost answer until the deadline. The cancelled context leaves it
	// one attempt.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.clock++
	called := w.clock
	doc, err := w.editor(i).Put(ctx, change, configurationJSON(change.ID))
	w.clock++
	outcome := "accepted"
	if err != nil {
		outcome = string(problem.From(err).Kind.Outcome)
	}
	if w.mutated.lostAsRefused && outcome == string(problem.Unknown) {
		outcome = string(problem.NotRun)
	}
	w.reported[change.ID] = outcome
	if outcome == string(problem.Unknown) {
		w.unresolved = append(w.unresolved, change)
	}
	if outcome == "accepted" && doc.Revision <= parent {
		w.t.Fatalf("change %s was accepted as revision %d, but is based on revision %d", change.ID, doc.Revision, parent)
	}
	w.recordAccepted(called, change, outcome, doc)
}

// recordAccepted records an accepted change for checkLinearizable.
func (w *simulation) recordAccepted(called int64, change configuration.Change, outcome string, doc *configuration.Document) {
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

// findChange asks instance i for the outcome of an unresolved change.
func (w *simulation) findChange(pick, i int) {
	if len(w.unresolved) == 0 {
		return
	}
	change := w.unresolved[pick%len(w.unresolved)]
	_, err := w.editor(i).FindChange(context.Background(), change)
	outcome := "accepted"
	if err != nil {
		outcome = string(problem.From(err).Kind.Outcome)
	}
	if outcome != string(problem.Unknown) {
		w.reported[change.ID] = outcome
	}
}

// readStore lets an instance apply the document that the service returns.
func (w *simulation) readStore(i int) {
	item, err := w.store.Get(context.Background(), configuration.Key)
	if err != nil {
		return
	}
	doc, err := configuration.Decode(item.Value, item.Revision)
	if err != nil {
		w.t.Fatalf("decode: %v", err)
	}
	if w.mutated.takeOlder {
		w.holders[i] = &configuration.Holder{}
	}
	w.holders[i].Update(doc)
}

// fetchFromPeer lets an instance apply the document of another one.
func (w *simulation) fetchFromPeer(to, from int) {
	if d := w.holders[from].Current(); d != nil {
		w.holders[to].Update(d)
	}
}

// checkInvariants checks that no instance returned to an older revision, and that the
// reported outcomes match the history in the store.
func (w *simulation) checkInvariants() {
	for i, h := range w.holders {
		if rev := h.Revision(); rev < w.highest[i] {
			w.t.Fatalf("instance %d returned from revision %d to %d", i, w.highest[i], rev)
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
	for id, reported := range w.reported {
		_, in := doc.AcceptedRevision(id)
		if reported == "accepted" && !in {
			w.t.Fatalf("change %s was reported accepted, but is not in the history", id)
		}
		if reported == string(problem.NotRun) && in {
			w.t.Fatalf("change %s was reported refused, but is in the history", id)
		}
	}
}

// casRegister models a compare-and-swap register: a change succeeds only if its parent
// is the current revision.
var casRegister = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) { return state == input, output },
}

// simulate returns a property that runs random actions and checks the invariants after
// each.
func simulate(mutated mutations) func(*rapid.T) {
	return func(t *rapid.T) {
		w := &simulation{
			t:        t,
			mutated:  mutated,
			store:    &store{},
			reported: make(map[string]string),
			highest:  make([]uint64, holders),
		}
		for range holders {
			w.holders = append(w.holders, &configuration.Holder{})
		}
		which := rapid.IntRange(0, holders-1)
		pick := rapid.IntRange(0, 100)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				i := which.Draw(t, "instance")
				w.putChange(i, w.holders[i].Revision())
			},
			"put_other_view": func(t *rapid.T) {
				w.putChange(which.Draw(t, "instance"), w.holders[which.Draw(t, "seen_at")].Revision())
			},
			"find":   func(t *rapid.T) { w.findChange(pick.Draw(t, "change"), which.Draw(t, "instance")) },
			"follow": func(t *rapid.T) { w.readStore(which.Draw(t, "instance")) },
			"gossip": func(t *rapid.T) { w.fetchFromPeer(which.Draw(t, "to"), which.Draw(t, "from")) },
			"fate": func(t *rapid.T) {
				w.store.fault = rapid.SampledFrom([]string{"", "down", "stale", "lost_before", "lost_after", "late"}).Draw(t, "fate")
			},
			"arrive": func(*rapid.T) {
				for _, f := range w.store.delayed {
					f()
				}
				w.store.delayed = nil
			},
			"": func(*rapid.T) { w.checkInvariants() },
		})
		w.checkLinearizable()
	}
}

// checkLinearizable checks that the accepted changes are a linearizable history of one
// register. It skips runs with a change of unknown outcome, which may lie between two
// accepted ones, and runs with a mutation or a delayed write.
func (w *simulation) checkLinearizable() {
	if w.mutated != (mutations{}) || len(w.unresolved) > 0 || len(w.store.delayed) > 0 {
		return
	}
	if !porcupine.CheckOperations(casRegister, w.history) {
		w.t.Fatalf("the accepted changes are not linearizable: %v", w.history)
	}
}

// Guards against a change that is reported accepted but is not in force, or reported
// refused but is, and against instances that return to an older revision. Operators
// make concurrent changes while the key-value service is down, answers with an older
// revision, applies a write late or loses its answer.
func TestReportedOutcomesAreTrueAndRevisionsOnlyRise(t *testing.T) {
	property.CheckN(t, 400, simulate(mutations{}))
}

// Checks that the invariants detect an editor that reports a lost answer as a refusal:
// the change may be in force.
func TestRefuteLostAnswerReportedAsRefusal(t *testing.T) {
	property.CheckFails(t, simulate(mutations{
		lostAsRefused: true,
	}))
}

// Checks that the invariants detect an instance that applies an older revision, which
// the service may answer with after an outage, and so undoes an accepted change.
func TestRefuteHolderThatTakesOlderRevision(t *testing.T) {
	property.CheckFails(t, simulate(mutations{
		takeOlder: true,
	}))
}

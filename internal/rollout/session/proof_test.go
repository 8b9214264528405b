package session_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/standin/proof"
)

// history drives a world through a random history of work and failures, and
// then works everything off.
func history(off mechanisms) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, off)
		pick := rapid.IntRange(0, 1000)
		again := ""
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { w.newest.Number++ },
			"step": func(t *rapid.T) {
				if len(w.specs) < 4 {
					w.newStep(rapid.IntRange(1, 3).Draw(t, "groups"), rapid.IntRange(1, 3).Draw(t, "samples"))
				}
			},
			"begin": func(t *rapid.T) { w.begin(pick.Draw(t, "session")) },
			"end": func(t *rapid.T) {
				w.end(pick.Draw(t, "attempt"), rapid.IntRange(0, 9).Draw(t, "good") > 1)
			},
			"read": func(t *rapid.T) {
				fate := rapid.SampledFrom([]string{"good", "lost", "late"}).Draw(t, "fate")
				if again != "" && fate == "good" {
					fate = "again"
				}
				w.read(rapid.IntRange(1, 4).Draw(t, "most"), fate)
				again = ""
				if fate == "lost" || fate == "late" {
					again = fate
				}
			},
			"arrive": func(t *rapid.T) { w.arrive(pick.Draw(t, "answer")) },
			"kill": func(t *rapid.T) {
				n := w.nodes[pick.Draw(t, "node")%nodeCount]
				n.alive = false
			},
			"revive": func(t *rapid.T) {
				if n := w.nodes[pick.Draw(t, "node")%nodeCount]; !n.alive {
					w.revive(n)
				}
			},
			"move": func(t *rapid.T) {
				if n := w.nodes[pick.Draw(t, "node")%nodeCount]; n.alive {
					w.open(n)
					again = ""
				}
			},
			"wait": func(*rapid.T) { w.clock.Advance(time.Second) },
		})
		w.settle()
	}
}

// An instance dies in the middle of a step, or is frozen and comes back; an
// answer to a trainer's read is lost, or comes after the trainer gave it up;
// new weights are published in between. A trainer would notice a sample that
// comes twice or never, or one that is older than its bound.
func TestExactlyOnceAndNeverTooOld(t *testing.T) {
	proof.Check(t, history(mechanisms{}))
}

// A trainer that takes an answer of a session that it left gets samples a
// second time from its new session.
func TestLateAnswersDoubleWithoutTheFence(t *testing.T) {
	proof.Refute(t, history(mechanisms{
		acceptLate: true,
	}))
}

// A new session that is not told what the trainer has hands over the copies
// of samples that it already took.
func TestNewSessionDoublesWithoutTheTrainersWord(t *testing.T) {
	proof.Refute(t, history(mechanisms{
		forgetHave: true,
	}))
}

// A version is published between a hand-over whose answer was lost and its
// repetition. Unless the age is checked again, the trainer gets a sample that
// has become too old in between.
func TestRedeliveryIsTooOldWithoutWithdrawal(t *testing.T) {
	proof.Refute(t, history(mechanisms{
		noWithdraw: true,
	}))
}

// A finished sample waits until the trainer reads, while versions move on.
func TestSamplesGetTooOldWithoutTheCheckAtHandOver(t *testing.T) {
	proof.Refute(t, history(mechanisms{
		noAge: true,
	}))
}

// A trainer that doesn't move its cursor gets the same batch again.
func TestRepeatedCursorDoubles(t *testing.T) {
	proof.Refute(t, history(mechanisms{
		recountRead: true,
	}))
}

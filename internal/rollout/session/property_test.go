package session_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/standin/property"
)

// randomHistory runs a random sequence of work and failures in a simulation, and
// then requires that every sample reaches the trainer.
func randomHistory(disabled disabledMechanisms) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newSimulation(t, disabled)
		pick := rapid.IntRange(0, 1000)
		again := ""
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { w.newestVersion.Number++ },
			"step": func(t *rapid.T) {
				if len(w.specs) < 4 {
					w.submitNewStep(rapid.IntRange(1, 3).Draw(t, "groups"), rapid.IntRange(1, 3).Draw(t, "samples"))
				}
			},
			"begin": func(t *rapid.T) { w.startAttempt(pick.Draw(t, "session")) },
			"end": func(t *rapid.T) {
				w.endAttempt(pick.Draw(t, "attempt"), rapid.IntRange(0, 9).Draw(t, "good") > 1)
			},
			"read": func(t *rapid.T) {
				outcome := rapid.SampledFrom([]string{"good", "lost", "late"}).Draw(t, "fate")
				if again != "" && outcome == "good" {
					outcome = "again"
				}
				w.read(rapid.IntRange(1, 4).Draw(t, "most"), outcome)
				again = ""
				if outcome == "lost" || outcome == "late" {
					again = outcome
				}
			},
			"arrive": func(t *rapid.T) { w.deliverLateResponse(pick.Draw(t, "answer")) },
			"kill": func(t *rapid.T) {
				n := w.nodes[pick.Draw(t, "node")%nodeCount]
				n.alive = false
			},
			"revive": func(t *rapid.T) {
				if n := w.nodes[pick.Draw(t, "node")%nodeCount]; !n.alive {
					w.restart(n)
				}
			},
			"move": func(t *rapid.T) {
				if n := w.nodes[pick.Draw(t, "node")%nodeCount]; n.alive {
					w.openSession(n)
					again = ""
				}
			},
			"wait": func(*rapid.T) { w.clock.Advance(time.Second) },
		})
		w.recoverAndFinish()
	}
}

// Guards against samples that are delivered twice, never, or when they are older
// than their bound. Instances die in the middle of a step, or are frozen and then
// continue with an old session; responses to reads are lost or arrive after the
// trainer gave them up; new weights are published in between.
func TestSamplesAreDeliveredExactlyOnceAndNotTooOld(t *testing.T) {
	property.Check(t, randomHistory(disabledMechanisms{}))
}

// A trainer that accepts the response of a session that it left gets the same
// samples again from its new session.
func TestAcceptingLateResponsesDuplicatesSamples(t *testing.T) {
	property.CheckFails(t, randomHistory(disabledMechanisms{
		acceptLateResponses: true,
	}))
}

// A new session that does not know which samples the trainer has delivers the
// copies of samples that the trainer already received.
func TestOmittingHaveDuplicatesSamples(t *testing.T) {
	property.CheckFails(t, randomHistory(disabledMechanisms{
		omitHave: true,
	}))
}

// A version is published between a read whose response was lost and its
// repetition. Without a second age check, the trainer gets a sample that has
// become too old in between.
func TestRedeliveryWithoutWithdrawalDeliversStaleSamples(t *testing.T) {
	property.CheckFails(t, randomHistory(disabledMechanisms{
		skipWithdrawal: true,
	}))
}

// New versions are published while a finished sample waits to be read. Without
// the age check of the read, the trainer gets it when it is too old.
func TestReadWithoutAgeCheckDeliversStaleSamples(t *testing.T) {
	property.CheckFails(t, randomHistory(disabledMechanisms{
		skipAgeCheck: true,
	}))
}

// A trainer that doesn't advance its cursor gets the same batch again.
func TestKeepingCursorDuplicatesSamples(t *testing.T) {
	property.CheckFails(t, randomHistory(disabledMechanisms{
		keepCursor: true,
	}))
}

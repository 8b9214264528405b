package runner

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/standby"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// eventOf returns the data of an event, which tells the text and the version that it is of.
func eventOf(text int, version uint64) string {
	return fmt.Sprintf("text %d version %d", text, version)
}

// checkText fails if events are of several texts, or if versions are not those of the events.
func checkText(t *rapid.T, where string, events []string, versions []uint64) {
	var texts []int
	var made []uint64
	for _, e := range events {
		var text int
		var version uint64
		if _, err := fmt.Sscanf(e, "text %d version %d", &text, &version); err != nil {
			t.Fatalf("%s: event %q: %v", where, e, err)
		}
		if !slices.Contains(texts, text) {
			texts = append(texts, text)
		}
		if !slices.Contains(made, version) {
			made = append(made, version)
		}
	}
	if len(texts) > 1 || !slices.Equal(made, versions) {
		t.Fatalf("%s: versions %v of a text made of %q", where, versions, events)
	}
}

// textOwner is an instance that runs the batch and sends its changes to one successor.
type textOwner struct {
	self   ledger.Owner
	runner Runner
	marks  standby.Marks
}

// own makes the instance continue the batch from a copy.
func (o *textOwner) own(sub *submission.Submission, from standby.Copy) {
	b := newBatch(sub, ledger.Claim{}, nil, from.Progress, nil)
	b.restoreResults(from.Results, 1)
	o.runner.batches = map[string]*Batch{sub.ID: b}
}

// batch returns the batch.
func (o *textOwner) batch() *Batch { return o.runner.batches["b"] }

// identifyTexts takes the identity of the texts away unless identified is set.
func (o *textOwner) identifyTexts(identified bool) {
	for _, t := range o.batch().tasks {
		if !identified {
			t.text = 0
		}
	}
}

// heartbeat returns the changes since the last acknowledged heartbeat and the marks after them.
func (o *textOwner) heartbeat() (standby.Heartbeat, standby.Marks) {
	open, deltas, after := o.runner.Changes(o.marks, nil)
	return standby.Heartbeat{
		Owner:  o.self,
		Open:   open,
		Deltas: deltas,
	}, after
}

// checkCopiesOfTexts runs owners whose items are dropped and generated again while their heartbeats
// are lost, doubled, late or unanswered, and which lose the batch to another owner or get it back.
func checkCopiesOfTexts(t *rapid.T, identified bool) {
	const maxLate = 4
	sub := &submission.Submission{
		ID:    "b",
		Items: []submission.Item{{ID: "x", Group: "g"}, {ID: "y", Group: "g"}},
	}
	var copies standby.Copies
	owner := &textOwner{self: ledger.Owner{Instance: "o", Incarnation: "0"}}
	owner.own(sub, standby.Copy{})
	owner.identifyTexts(identified)
	var late []standby.Heartbeat
	now := timer.Instant(1)
	texts := 0
	anyTask := func(t *rapid.T) *task {
		return owner.batch().tasks[rapid.SampledFrom([]string{"x", "y"}).Draw(t, "item")]
	}
	actions := map[string]func(*rapid.T){
		"event": func(t *rapid.T) {
			item := anyTask(t)
			if item.phase == finished {
				return
			}
			text := 0
			if item.lastEvent == 0 {
				texts++
				text = texts
			} else {
				_, _ = fmt.Sscanf(item.events[0], "text %d", &text)
			}
			version := rapid.Uint64Range(1, 2).Draw(t, "version")
			item.addEvent(Event{
				Number:  item.lastEvent + 1,
				Data:    eventOf(text, version),
				Version: version,
			}, now)
		},
		"drop": func(t *rapid.T) {
			if item := anyTask(t); item.phase != finished {
				item.discardEvents()
				owner.identifyTexts(identified)
			}
		},
		"finish": func(t *rapid.T) {
			if item := anyTask(t); item.lastEvent > 0 {
				owner.batch().finish(item, item.result("proof"), now)
			}
		},
		"heartbeat": func(t *rapid.T) {
			h, after := owner.heartbeat()
			switch path := rapid.SampledFrom([]string{"arrives", "arrives", "doubled", "late", "unanswered", "lost"}).Draw(t, "path"); path {
			case "lost":
			case "late":
				if len(late) < maxLate {
					late = append(late, h)
				}
			case "unanswered":
				_ = copies.Apply(h, now)
			default:
				err := copies.Apply(h, now)
				if path == "doubled" {
					err = copies.Apply(h, now)
				}
				owner.marks = after
				if errors.Is(err, standby.ErrGap) {
					owner.marks = nil
				}
			}
		},
		"late heartbeat": func(t *rapid.T) {
			if len(late) > 0 {
				i := rapid.IntRange(0, len(late)-1).Draw(t, "which")
				_ = copies.Apply(late[i], now)
			}
		},
		"taken over": func(t *rapid.T) {
			found, _ := copies.Find("b")
			next := &textOwner{self: ledger.Owner{Instance: "o", Incarnation: owner.self.Incarnation + "0"}}
			if rapid.Bool().Draw(t, "same owner") {
				// The owner gets the batch back; it still has the marks of the successor.
				next = owner
				if rapid.Bool().Draw(t, "without a copy") {
					found = standby.Copy{}
				}
			}
			next.own(sub, found)
			owner = next
			owner.identifyTexts(identified)
		},
		"": func(t *rapid.T) {
			now++
			found, _ := copies.Find("b")
			for _, p := range found.Progress {
				checkText(t, "progress of "+p.Item, p.Events, p.Versions)
			}
			for _, r := range found.Results {
				checkText(t, "result of "+r.Item, strings.Split(r.Text, "\n"), r.Versions)
			}
		},
	}
	t.Repeat(actions)
}

// Guards against a successor that joins two texts of an item, or has a text with the versions of
// another one: the result names weight versions that didn't make it.
func TestCopiesHoldOneTextWithItsVersions(t *testing.T) {
	property.Check(t, func(t *rapid.T) { checkCopiesOfTexts(t, true) })
}

// If a text is only a number of events, the copies of the property above join two texts.
func TestCopiesNeedIdentityOfTexts(t *testing.T) {
	property.CheckFails(t, func(t *rapid.T) { checkCopiesOfTexts(t, false) })
}

// Guards against a text that was dropped and generated again between two heartbeats: the successor
// kept the first events of the old text.
func TestTextMadeAgainReplacesCopy(t *testing.T) {
	is := is.New(t)
	sub := &submission.Submission{
		ID:    "b",
		Items: []submission.Item{{ID: "x", Group: "g"}},
	}
	owner := &textOwner{self: ledger.Owner{Instance: "o", Incarnation: "0"}}
	owner.own(sub, standby.Copy{})
	x := owner.batch().tasks["x"]
	var copies standby.Copies
	send := func() {
		h, after := owner.heartbeat()
		is.NoErr(copies.Apply(h, 1))
		owner.marks = after
	}
	add := func(n int, version uint64) {
		for range n {
			is.True(x.addEvent(Event{Number: x.lastEvent + 1, Data: fmt.Sprint(version), Version: version}, 1))
		}
	}
	add(3, 4)
	send()
	x.discardEvents()
	add(5, 5)
	send()
	found, _ := copies.Find("b")
	is.Equal(found.Progress[0].Events, []string{"5", "5", "5", "5", "5"})
	is.Equal(found.Progress[0].Versions, []uint64{5})
	x.discardEvents()
	add(6, 6)
	owner.batch().finish(x, x.result("proof"), 1)
	send()
	found, _ = copies.Find("b")
	is.Equal(found.Results[0].Text, "6\n6\n6\n6\n6\n6")
}

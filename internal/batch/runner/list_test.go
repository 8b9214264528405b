package runner

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
)

// Guards against a read that is answered by the write before the one that ends
// the step.
func TestReadWaitsForTheResultsThatEndTheStep(t *testing.T) {
	is := is.New(t)
	sub := &submission.Submission{
		WantedGroups: 2,
		Items: []submission.Item{
			{ID: "x", Group: "g"},
			{ID: "y", Group: "h"},
			{ID: "z", Group: "i"},
		},
	}
	b := newBatch(sub, ledger.Claim{}, nil, nil, nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	first := submission.Result{Item: "x"}
	second := submission.Result{Item: "y"}
	b.finish(b.tasks["x"], first, 1)
	// The first result is being written to the ledger when the second ends the
	// step.
	b.finish(b.tasks["y"], second, 2)
	is.Equal(b.criticalItem, "y")
	notified := b.changed
	b.listResults([]submission.Result{first}, 3)
	select {
	case <-notified:
		t.Fatal("answered without the result that ends the step")
	default:
	}
	is.True(b.readableAt == 0)
	b.listResults([]submission.Result{second}, 4)
	<-notified
	is.True(b.readableAt == 4)
	// Results that come after it answer reads at once.
	notified = b.changed
	b.listResults([]submission.Result{{Item: "z"}}, 5)
	<-notified
}

// Guards against a step whose last results take two reads although one page has
// room for them.
func TestEndOfAStepFitsOnePage(t *testing.T) {
	is := is.New(t)
	var listed []submission.Result
	for range 20 {
		listed = append(listed, submission.Result{
			Text: strings.Repeat("x", 130<<10),
		})
	}
	p := NewPage(20, listed, 12)
	is.Equal(p.Next, 18)
	data, err := json.Marshal(p.Results)
	is.NoErr(err)
	is.True(len(data) < 1_000_000) // the most that callers accept
	is.Equal(NewPage(20, listed, 18).Next, 20)
	large := []submission.Result{{Text: strings.Repeat("x", 2<<20)}}
	is.Equal(NewPage(1, large, 0).Next, 1) // at least one
}

// Guards against a read that is answered, near the end of a step, with results
// that were written only because of their age.
func TestOldResultsDoNotAnswerReadsNearTheEnd(t *testing.T) {
	is := is.New(t)
	sub := &submission.Submission{
		WantedGroups: 3,
		Items:        []submission.Item{{ID: "x", Group: "g"}, {ID: "y", Group: "h"}, {ID: "z", Group: "i"}, {ID: "w", Group: "j"}},
	}
	b := newBatch(sub, ledger.Claim{}, nil, nil, nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	notified := b.changed
	b.finish(b.tasks["x"], submission.Result{Item: "x"}, 1)
	b.listResults([]submission.Result{{Item: "x"}}, 2)
	select {
	case <-notified:
		t.Fatal("answered with two groups to go")
	default:
	}
	is.Equal(len(b.page(0).Results), 1) // a read that begins now gets it
}

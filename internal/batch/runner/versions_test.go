package runner

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Guards against a result whose log lines don't tell by which versions its text was made, or that
// an earlier text of the item was dropped.
func TestLogTellsVersionsOfTexts(t *testing.T) {
	is := is.New(t)
	runs := 0
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if runs++; runs == 1 {
			_ = emitEvents(0, 3, 4, emit)
			return engine.ErrIncompleteResponse
		}
		return emitEvents(attempt.After, 6, 5, emit)
	})
	var out bytes.Buffer
	var err error
	b.runner.Journal, err = journal.Open(&out, "info", "i")
	is.NoErr(err)
	b.route.SingleVersion = true
	is.NoErr(b.submit("x"))
	got := b.waitForResults(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].Versions, []uint64{5})
	is.Equal(got[0].Text, "e1\ne2\ne3\ne4\ne5\ne6")
	is.NoErr(b.runner.Journal.Flush())
	line := func(decision string) string {
		for l := range strings.Lines(out.String()) {
			if strings.Contains(l, "decision="+decision+" ") {
				return l
			}
		}
		return ""
	}
	is.True(strings.Contains(line("discard_text"), "events=3 ") && strings.Contains(line("discard_text"), "versions=4"))
	is.True(strings.Contains(line("item"), "versions=5"))
}

// Guards against a text of two versions that a new owner takes from a copy or from the ledger, after
// the route was restricted to a single version.
func TestRestoredTextsHaveSingleVersion(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		return emitEvents(attempt.After, 4, 5, emit)
	})
	restricted := b.route
	restricted.SingleVersion = true
	b.runner.Configuration.Update(catalog.Configuration{
		Version: 2,
		Routes:  []catalog.Route{restricted},
	}.WithIndex())
	other := &ledger.Ledger{
		Store: b.store,
		Self:  ledger.Owner{Instance: "lost", Incarnation: "1"},
	}
	seen, err := other.Accept(context.Background(), b.newSubmission("x", "y", "z"))
	is.NoErr(err)
	seen, err = other.Append(context.Background(), seen, nil, []submission.Progress{
		{Item: "z", Events: []string{"e1", "e2", "e3"}, Versions: []uint64{4, 5}},
	})
	is.NoErr(err)
	b.runner.CopyFinder = fixedCopies{
		Results:  []submission.Result{{Item: "x", State: submission.Completed, Text: "mixed", Versions: []uint64{4, 5}}},
		Progress: []submission.Progress{{Item: "y", Events: []string{"e1", "e2"}, Versions: []uint64{4, 5}}},
	}
	claim, err := b.runner.Ledger.TakeOver(context.Background(), seen, "")
	is.NoErr(err)
	is.NoErr(b.runner.Adopt(context.Background(), claim))
	got := b.waitForResults(3)
	is.Equal(len(got), 3)
	for _, r := range got {
		is.Equal(r.Versions, []uint64{5})
		is.Equal(r.Text, "e1\ne2\ne3\ne4")
	}
}

// Guards against a text of two versions that is completed after its route was restricted to a single
// version.
func TestRestrictedRouteAppliesToRunningBatches(t *testing.T) {
	is := is.New(t)
	var b *testBench
	runs := 0
	b = newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if runs++; runs > 1 {
			return emitEvents(attempt.After, 4, 5, emit)
		}
		_ = emitEvents(0, 2, 4, emit)
		_ = emitEvents(2, 4, 5, emit)
		restricted := b.route
		restricted.SingleVersion = true
		b.runner.Configuration.Update(catalog.Configuration{
			Version: 2,
			Routes:  []catalog.Route{restricted},
		}.WithIndex())
		return nil
	})
	is.NoErr(b.submit("x"))
	got := b.waitForResults(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].Versions, []uint64{5})
	is.Equal(got[0].Text, "e1\ne2\ne3\ne4")
}

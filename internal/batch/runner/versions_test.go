package runner

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

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

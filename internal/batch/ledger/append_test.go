package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// Guards against results that are too large for one value. While the key-value service
// is unavailable for seconds at the end of a step, a megabyte and more of results wait
// to be written; in one value they are refused again and again, and the step never ends.
func TestChunkLenSplitsResultsIntoValues(t *testing.T) {
	is := is.New(t)
	long := submission.Result{Text: strings.Repeat("x", 60<<10)}
	var results []submission.Result
	for range 40 {
		results = append(results, long)
	}
	chunks := 0
	for len(results) > 0 {
		n := ChunkLen(results)
		is.True(n > 0 && n*len(long.Text) <= maxValueBytes)
		results = results[n:]
		chunks++
	}
	is.Equal(chunks, 5)
	huge := submission.Result{Text: strings.Repeat("x", 2*maxValueBytes)}
	is.Equal(ChunkLen([]submission.Result{huge, huge}), 1) // at least one, whatever its size
	is.Equal(ChunkLen(nil), 0)
}

// Guards against losing all progress when it is too large for one value. A step of two
// hundred texts is under way when the power of all instances fails; without stored
// progress the step begins anew and its trainer is idle for seven seconds. As many texts
// as fit are kept, beginning with the longest.
func TestAppendKeepsProgressThatFits(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l := &Ledger{
		Store: &memorystore.Store{
			Timer: timer.Real{},
		},
		Self:  Owner{Instance: "i", Incarnation: "1"},
		Pause: func(time.Duration) {},
	}
	claim, err := l.Accept(ctx, &submission.Submission{ID: "b"})
	is.NoErr(err)
	var progress []submission.Progress
	event := strings.Repeat("x", 400)
	for n := 100; n > 0; n-- {
		p := submission.Progress{
			Item: strings.Repeat("i", n),
		}
		for range n {
			p.Events = append(p.Events, event)
		}
		progress = append(progress, p)
	}
	_, err = l.Append(ctx, claim, []submission.Result{{Item: "x"}}, progress)
	is.NoErr(err)
	rec, err := l.Load(ctx, "b")
	is.NoErr(err)
	is.True(len(rec.Progress) >= 12)
	is.Equal(len(rec.Progress[0].Events), 100)
	is.Equal(len(rec.Results), 1)
}

// Guards against a chunk that the service refuses for ever, as its texts take more room when they are
// stored than they have bytes.
func TestChunksFitIntoOneValueWhateverTheirTexts(t *testing.T) {
	const limit = 1 << 20 // the service's
	worst := []string{"<", "&", "\x01", "\"", "\xff", "\u2028", "\n", "é", "漢", "\ufffd", "\x7f"}
	property.CheckN(t, 100, func(t *rapid.T) {
		character := rapid.SampledFrom(worst)
		text := func() string {
			return strings.Repeat(character.Draw(t, "character")+character.Draw(t, "another"), rapid.IntRange(0, 60_000).Draw(t, "length"))
		}
		var results []submission.Result
		for i := range rapid.IntRange(1, 6).Draw(t, "results") {
			results = append(results, submission.Result{
				Item:     fmt.Sprint("item", i),
				State:    submission.Completed,
				Text:     text(),
				Versions: []uint64{1, 2},
				Score:    "proof",
			})
		}
		n := ChunkLen(results)
		data, err := json.Marshal(results[:n])
		if err != nil || n > 1 && len(data) > limit {
			t.Fatalf("%d results take %d bytes: %v", n, len(data), err)
		}
		for _, r := range results {
			quoted, _ := json.Marshal(r.Text)
			if got := storedLen(r.Text); got < len(quoted)-2 {
				t.Fatalf("%.10q: stored length %d, counted %d", r.Text, len(quoted)-2, got)
			}
		}
		progress := fittingProgress([]submission.Progress{{Item: "x", Events: []string{text(), text()}}, {Item: "y", Events: []string{text()}}})
		if data, err = json.Marshal(progress); err != nil || len(data) > limit {
			t.Fatalf("progress takes %d bytes: %v", len(data), err)
		}
	})
}

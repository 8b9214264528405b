package ledger

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// The key-value service is away for seconds while a step ends: a megabyte and more
// of results waits for its return. In one value they were refused again and
// again, and the step never ended.
func TestResultsAreCutIntoValues(t *testing.T) {
	is := is.New(t)
	long := submission.Result{Text: strings.Repeat("x", 60<<10)}
	var results []submission.Result
	for range 40 {
		results = append(results, long)
	}
	chunks := 0
	for len(results) > 0 {
		n := Fitting(results)
		is.True(n > 0 && n*len(long.Text) <= partBytes)
		results = results[n:]
		chunks++
	}
	is.Equal(chunks, 5)
	huge := submission.Result{Text: strings.Repeat("x", 2*partBytes)}
	is.Equal(Fitting([]submission.Result{huge, huge}), 1) // never none
	is.Equal(Fitting(nil), 0)
}

// A step of two hundred texts is under way when the power of all instances
// fails. Together the texts were larger than one value, and none of them was
// kept: the step began anew and its trainer stood still for seven seconds. As
// many as fit are kept, beginning with the longest.
func TestProgressIsKeptAsFarAsItFits(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l := &Ledger{
		Space: &space.Space{
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

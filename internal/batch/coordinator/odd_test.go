package coordinator

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Guards against an odd entry among the open batches for which an instance tries a take-over, and writes
// a line of the log, several times a second, or by which other batches are not taken over.
func TestOddOpenBatchIsTriedBySweepsOnly(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	for _, value := range []string{"{}", "null", "[", `{"instance":"lost"}`} {
		c, store := newCoordinator(t, nil)
		var out bytes.Buffer
		j, err := journal.Open(&out, "warn", "i")
		is.NoErr(err)
		c.Journal, c.Ledger.Journal = j, j
		c.Config.Update(catalog.Configuration{Version: 1}.WithIndex())
		c.Runner.Configuration.Update(catalog.Configuration{Version: 1}.WithIndex())
		lost := &ledger.Ledger{
			Store: store,
			Self:  ledger.Owner{Instance: "lost", Incarnation: "1"},
			Pause: func(time.Duration) {},
		}
		_, err = lost.Accept(ctx, &submission.Submission{
			ID:          "sound",
			Items:       []submission.Item{{ID: "x", Path: "/x"}},
			SubmittedMS: time.Now().UnixMilli(),
		})
		is.NoErr(err)
		_, err = store.Commit(ctx, keyvalue.Transaction{
			Writes: []keyvalue.Write{
				{Key: "egretbend/open/odd", Value: []byte(value)},
			},
		})
		is.NoErr(err)
		var tb tomb.Tomb
		tb.Go(func() error { return c.Registry.Run(&tb) })
		c.Registry.AwaitView(&tb, time.Second)
		for range 5 {
			is.NoErr(c.sweep(ctx, keyvalue.Fresh))
			timer.Wait(timer.Real{}, 50*time.Millisecond, nil) // take-overs run in the background
		}
		is.True(c.Runner.Has("sound"))
		select {
		case <-c.takeOverFailed.C():
			t.Error("another sweep follows at once")
		default:
		}
		is.NoErr(j.Flush())
		is.Equal(strings.Count(out.String(), "\n"), 1)
		tb.Kill(nil)
		_ = tb.Wait()
	}
}

package sample_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/rollout/sample"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

// A swap of weights falls inside a stream, a stream is resumed on an engine
// with other weights, an engine restarts with old ones, and a second attempt
// that began from a copy wins. A trainer would notice a record that names a
// version which did not make those tokens.
func TestRecordNamesTheVersionOfEachToken(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		rec := &sample.Recorder{}
		var truth []version.Version
		for range rapid.IntRange(1, 40).Draw(t, "tokens") {
			v := version.Version{
				Epoch:  1,
				Number: rapid.Uint64Range(1, 4).Draw(t, "version"),
			}
			if rapid.IntRange(0, 5).Draw(t, "second") == 0 {
				loser := rec
				rec = rec.Clone()
				_ = loser.Add(engine.Token{
					Index: len(truth),
					Text:  "x",
					Version: version.Version{
						Epoch: 9,
					},
				})
			}
			if err := rec.Add(engine.Token{
				Index:   len(truth),
				Text:    "x",
				Version: v,
			}); err != nil {
				t.Fatalf("add: %v", err)
			}
			truth = append(truth, v)
		}
		next := 0
		for _, span := range rec.Spans {
			for ; next <= span.LastToken; next++ {
				if truth[next] != span.Version {
					t.Fatalf("token %d is recorded as %v, but %v made it", next, span.Version, truth[next])
				}
			}
		}
		if next != len(truth) {
			t.Fatalf("%d of %d tokens are recorded", next, len(truth))
		}
	})
}

// An engine that doesn't say its version makes no sample, and one that leaves
// out or repeats a token makes no record.
func TestRecorderRefusesWhatItCannotName(t *testing.T) {
	is := is.New(t)
	var rec sample.Recorder
	is.Equal(rec.Add(engine.Token{}), sample.ErrNoVersion)
	v := version.Version{
		Epoch: 1,
	}
	is.NoErr(rec.Add(engine.Token{
		Version: v,
	}))
	is.True(rec.Add(engine.Token{
		Version: v,
	}) != nil) // the same token again
	is.True(rec.Add(engine.Token{
		Index:   2,
		Version: v,
	}) != nil) // a token left out
}

package stream_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/outside/roster"
	"github.com/egretbend/egretbend/internal/rollout/stream"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/route/router"
	"github.com/egretbend/egretbend/internal/route/upstream"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

const (
	tokens      = 8
	maxVersions = 2
	newest      = 5
)

// engines is a fake protocol whose engines break, refuse, or have old weights.
type engines struct {
	t *rapid.T
	// truth is what an engine said it made, by place.
	truth map[int]version.Version
	// ran is set when any engine may have begun.
	ran bool
	// fresh begins every stream anew instead of resuming it.
	fresh bool
}

// Generate implements engine.Adapter.
func (e *engines) Generate(_ context.Context, _ string, req engine.Request, emit func(engine.Token) error) (engine.Finish, error) {
	switch rapid.IntRange(0, 5).Draw(e.t, "fate") {
	case 0:
		return engine.Finish{}, engine.ErrNotSent
	case 1:
		return engine.Finish{}, &engine.RefusedError{}
	}
	e.ran = true
	end := tokens
	if rapid.Bool().Draw(e.t, "breaks") {
		end = rapid.IntRange(len(req.Resume), tokens).Draw(e.t, "at")
	}
	start := len(req.Resume)
	if e.fresh {
		start = 0
	}
	v := version.Version{
		Epoch:  1,
		Number: rapid.Uint64Range(1, newest).Draw(e.t, "version"),
	}
	for i := start; i < end; i++ {
		if err := emit(engine.Token{
			Index:   i,
			Text:    fmt.Sprint(i),
			Version: v,
		}); err != nil {
			return engine.Finish{}, err
		}
		e.truth[i] = v
	}
	if end < tokens {
		return engine.Finish{}, engine.ErrBroken
	}
	return engine.Finish{
		Reason: "length",
	}, nil
}

// Report implements engine.Adapter.
func (e *engines) Report(context.Context, string) (engine.Report, error) {
	return engine.Report{}, engine.ErrNotSent
}

// Order implements engine.Adapter.
func (e *engines) Order(context.Context, string, engine.Order) error { return nil }

func generator(e *engines, staleness bool) *stream.Generator {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	state := &gossip.State{}
	board := &version.Board{
		State: state,
	}
	if staleness {
		_ = board.Publish("m", version.Published{
			Version: version.Version{
				Epoch:  1,
				Number: newest,
			},
		})
	}
	doc, err := configuration.Decode([]byte(`{"history": [], "configuration": {"format": 1, "team": "t", "deployments": [
		{"name": "m", "kind": "model", "group": "g", "attempts": 4, "staleness": {"max_versions": 2}}]}}`), 1)
	if err != nil {
		e.t.Fatalf("configuration: %v", err)
	}
	holder := &configuration.Holder{}
	holder.Take(doc)
	table := &upstream.Table{}
	var list []roster.Instance
	for i := range 4 {
		list = append(list, roster.Instance{
			ID:          fmt.Sprint(i),
			Group:       "g",
			Address:     fmt.Sprint(i),
			Incarnation: 1,
		})
	}
	table.Build(doc.Parsed(), member.Member{}, list, clock.Now())
	return &stream.Generator{
		Engine: e,
		Timer:  clock,
		Router: &router.Router{
			Table:  table,
			Holder: holder,
			Limiter: &limit.Limiter{
				Timer: clock,
			},
			Board: board,
			Timer: clock,
		},
	}
}

// generate runs one generation over engines that fail at random.
func generate(fresh bool) func(*rapid.T) {
	return func(t *rapid.T) {
		e := &engines{
			t:     t,
			truth: make(map[int]version.Version),
			fresh: fresh,
		}
		staleness := rapid.Bool().Draw(t, "staleness")
		g := generator(e, staleness)
		task := stream.Task{
			Deployment: "m",
			MaxTokens:  tokens,
			Weight:     1,
			Staleness:  staleness,
		}
		trip, err := g.Enter(task)
		if err != nil {
			t.Fatalf("enter: %v", err)
		}
		var got []engine.Token
		_, err = g.Run(context.Background(), trip, task, func(token engine.Token) error {
			got = append(got, token)
			return nil
		})
		for i, token := range got {
			if token.Index != i || token.Text != fmt.Sprint(i) {
				t.Fatalf("place %d holds token %d", i, token.Index)
			}
			if token.Version != e.truth[i] {
				t.Fatalf("token %d is told as %v, but %v made it", i, token.Version, e.truth[i])
			}
			if staleness && token.Version.Number < newest-maxVersions {
				t.Fatalf("token %d is of version %v, which is too old", i, token.Version)
			}
		}
		if err == nil && len(got) != tokens {
			t.Fatalf("a whole answer has %d of %d tokens", len(got), tokens)
		}
		if err != nil && problem.From(err).Kind.Outcome == problem.NotRun && len(got) > 0 {
			t.Fatalf("told not run after %d tokens: %v", len(got), err)
		}
	}
}

// Engines break streams, refuse, and come back with old weights while a
// generation is on its way. A caller would notice a token that is missing or
// comes twice, or a short answer; a trainer a version that is not true, or a
// stream that was made to its end with weights that are too old.
func TestStreamIsWholeAndTrue(t *testing.T) {
	proof.Check(t, generate(false))
}

// An engine that begins anew in place of resuming repeats the first tokens.
func TestStreamRepeatsWithoutResume(t *testing.T) {
	proof.Refute(t, generate(true))
}

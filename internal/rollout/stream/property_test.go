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
	"github.com/egretbend/egretbend/internal/standin/property"
)

const (
	maxTokens    = 8
	maxVersions  = 2
	newestNumber = 5
)

// fakeEngines is a fake engine.Adapter whose engines break streams, refuse
// requests, or have old weights at random.
type fakeEngines struct {
	t *rapid.T
	// generatedBy is the version that generated each token, by token index.
	generatedBy map[int]version.Version
	// mayHaveRun is set when any engine may have started to generate.
	mayHaveRun bool
	// ignoreResume makes every stream start at token 0 instead of resuming.
	ignoreResume bool
}

// Generate implements engine.Adapter.
func (e *fakeEngines) Generate(_ context.Context, _ string, req engine.Request, emit func(engine.Token) error) (engine.Finish, error) {
	switch rapid.IntRange(0, 5).Draw(e.t, "fate") {
	case 0:
		return engine.Finish{}, engine.ErrNotSent
	case 1:
		return engine.Finish{}, &engine.RefusedError{}
	}
	e.mayHaveRun = true
	end := maxTokens
	if rapid.Bool().Draw(e.t, "breaks") {
		end = rapid.IntRange(len(req.Resume), maxTokens).Draw(e.t, "at")
	}
	start := len(req.Resume)
	if e.ignoreResume {
		start = 0
	}
	v := version.Version{
		Epoch:  1,
		Number: rapid.Uint64Range(1, newestNumber).Draw(e.t, "version"),
	}
	for i := start; i < end; i++ {
		if err := emit(engine.Token{
			Index:   i,
			Text:    fmt.Sprint(i),
			Version: v,
		}); err != nil {
			return engine.Finish{}, err
		}
		e.generatedBy[i] = v
	}
	if end < maxTokens {
		return engine.Finish{}, engine.ErrIncompleteResponse
	}
	return engine.Finish{
		Reason: "length",
	}, nil
}

// Report implements engine.Adapter.
func (e *fakeEngines) Report(context.Context, string) (engine.LoadReport, error) {
	return engine.LoadReport{}, engine.ErrNotSent
}

// Order implements engine.Adapter.
func (e *fakeEngines) Order(context.Context, string, engine.Order) error { return nil }

// newGenerator returns a generator for a deployment with 4 upstreams. If
// boundStaleness is set, a newest version is published, so that the deployment's
// staleness bound of maxVersions applies.
func newGenerator(e *fakeEngines, boundStaleness bool) *stream.Generator {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	state := &gossip.State{}
	versions := &version.Table{
		State: state,
	}
	if boundStaleness {
		_ = versions.Publish("m", version.Published{
			Version: version.Version{
				Epoch:  1,
				Number: newestNumber,
			},
		})
	}
	doc, err := configuration.Decode([]byte(`{"history": [], "configuration": {"format": 1, "team": "t", "deployments": [
		{"name": "m", "kind": "model", "group": "g", "attempts": 4, "staleness": {"max_versions": 2}}]}}`), 1)
	if err != nil {
		e.t.Fatalf("configuration: %v", err)
	}
	holder := &configuration.Holder{}
	holder.Update(doc)
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
			Table:         table,
			Configuration: holder,
			Limiter: &limit.Limiter{
				Timer: clock,
			},
			Versions: versions,
			Timer:    clock,
		},
	}
}

// checkGeneration runs one generation on engines that fail at random and checks
// the tokens that it emits.
func checkGeneration(ignoreResume bool) func(*rapid.T) {
	return func(t *rapid.T) {
		e := &fakeEngines{
			t:            t,
			generatedBy:  make(map[int]version.Version),
			ignoreResume: ignoreResume,
		}
		boundStaleness := rapid.Bool().Draw(t, "staleness")
		g := newGenerator(e, boundStaleness)
		task := stream.Task{
			Deployment:     "m",
			MaxTokens:      maxTokens,
			Weight:         1,
			BoundStaleness: boundStaleness,
		}
		dispatch, err := g.Admit(task)
		if err != nil {
			t.Fatalf("enter: %v", err)
		}
		var received []engine.Token
		_, err = g.Run(context.Background(), dispatch, task, func(token engine.Token) error {
			received = append(received, token)
			return nil
		})
		for i, token := range received {
			if token.Index != i || token.Text != fmt.Sprint(i) {
				t.Fatalf("position %d has token %d", i, token.Index)
			}
			if token.Version != e.generatedBy[i] {
				t.Fatalf("token %d is reported with version %v, but was generated by %v", i, token.Version, e.generatedBy[i])
			}
			if boundStaleness && token.Version.Number < newestNumber-maxVersions {
				t.Fatalf("token %d has version %v, which is too old", i, token.Version)
			}
		}
		if err == nil && len(received) != maxTokens {
			t.Fatalf("a complete response has %d of %d tokens", len(received), maxTokens)
		}
		if err != nil && problem.From(err).Kind.Outcome == problem.NotRun && len(received) > 0 {
			t.Fatalf("outcome is not_run after %d tokens: %v", len(received), err)
		}
	}
}

// Guards against missing and repeated tokens, truncated responses, wrong versions,
// and streams that are generated with weights that are too old. Engines break
// streams, refuse requests, and restart with old weights during a generation.
func TestStreamIsCompleteWithTrueVersions(t *testing.T) {
	property.Check(t, checkGeneration(false))
}

// An engine that starts again instead of resuming repeats the first tokens.
func TestIgnoringResumeRepeatsTokens(t *testing.T) {
	property.CheckFails(t, checkGeneration(true))
}

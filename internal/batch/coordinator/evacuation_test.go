package coordinator

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Guards against a batch that is accepted although no engine is left for it, and against one that
// was accepted before and whose trainer is told that it has not run when it asks again.
func TestBatchWithoutEnginesIsRefused(t *testing.T) {
	is := is.New(t)
	c, _ := newCoordinator(t, nil)
	c.Runner.Configuration.Update(catalog.Configuration{Version: 1}.WithIndex())
	is.NoErr(c.Accept(context.Background(), newStep("before"), catalog.Route{}))
	c.Evacuated = func(catalog.Route) []string { return []string{"a"} }
	is.NoErr(c.Accept(context.Background(), newStep("before"), catalog.Route{}))

	for _, submit := range []func() error{
		func() error { return c.Accept(context.Background(), newStep("new"), catalog.Route{}) },
		func() error { return c.Submit(context.Background(), newStep("new"), catalog.Route{}) },
	} {
		err := submit()
		is.True(problem.Is(err, problem.NoUpstream))
		is.Equal(problem.From(err).Kind.Outcome, problem.NotRun)
		is.True(problem.From(err).RetryAfter > 0)
	}
	is.True(!c.Runner.Has("new"))
}

package runner

import (
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/rollout/copystore"
	"github.com/egretbend/egretbend/internal/rollout/demand"
	"github.com/egretbend/egretbend/internal/rollout/stream"
	"github.com/egretbend/egretbend/internal/route/router"
)

func init() {
	part.Register(part.Factory{
		Name:  "rollout.runner",
		Stage: part.StageRollout,
		Make:  makePart,
	})
}

type runnerPart struct {
	runner *Runner
}

func makePart(h *part.Host) (part.Part, error) {
	generator := &stream.Generator{
		Router: part.MustGet[*router.Router](h),
		Engine: part.MustGet[engine.Adapter](h),
		Timer:  h.Timer,
	}
	store := &copystore.Store{
		Timer: h.Timer,
	}
	r := &Runner{
		Generator:     generator,
		CopyStore:     store,
		Client:        part.MustGet[*peer.Client](h),
		Configuration: part.MustGet[*configuration.Holder](h),
		Versions:      part.MustGet[*version.Table](h),
		Demand: &demand.Table{
			State: part.MustGet[*gossip.State](h),
		},
		Members: part.MustGet[*member.Table](h),
		Timer:   h.Timer,
		Journal: h.Journal,
		Metrics: NewMetrics(h.Metrics),
	}
	part.Provide(h, generator)
	part.Provide(h, r)
	return &runnerPart{
		runner: r,
	}, part.MustGet[*peer.Server](h).Register("Keeper", store)
}

// Start implements part.Part.
func (p *runnerPart) Start(t *tomb.Tomb) error {
	p.runner.Tomb = t
	return nil
}

// Stop implements part.Part.
func (p *runnerPart) Stop() {}

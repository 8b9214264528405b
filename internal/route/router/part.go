package router

import (
	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/crashnotice"
	"github.com/egretbend/egretbend/internal/fleet/listing"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

func init() {
	part.Register(part.Factory{
		Name:  "route.router",
		Stage: part.StageRoute,
		Make:  makePart,
	})
}

// engineProtocol is the name of the adapter that talks to engines and reads their
// load reports.
const engineProtocol = "completions"

type routerPart struct {
	refresher *upstream.Refresher
}

func makePart(h *part.Host) (part.Part, error) {
	adapter, err := engine.Adapters.Find(engineProtocol)
	if err != nil {
		return nil, err
	}
	table := &upstream.Table{}
	limiter := &limit.Limiter{
		Timer: h.Timer,
	}
	part.MustGet[*member.LoadSource](h).Set(limiter.Load)
	part.Provide(h, table)
	part.Provide(h, limiter)
	part.Provide(h, adapter)
	part.Provide(h, &Router{
		Table:          table,
		Configuration:  part.MustGet[*configuration.Holder](h),
		Limiter:        limiter,
		Versions:       part.MustGet[*version.Table](h),
		Timer:          h.Timer,
		Journal:        h.Journal,
		Metrics:        NewMetrics(h.Metrics),
		CrashReporter:  part.MustGet[*crash.Reporter](h),
		PoisonDetector: part.MustGet[*crashnotice.Board](h),
	})
	h.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretbend_load_ratio",
		Help: "Use of the fullest limit, from 0 to 1.",
	}, limiter.Load))
	return &routerPart{
		refresher: &upstream.Refresher{
			Table:         table,
			Configuration: part.MustGet[*configuration.Holder](h),
			Listing:       part.MustGet[*listing.Table](h),
			Members:       part.MustGet[*member.Table](h),
			Timer:         h.Timer,
			Engine:        adapter,
		},
	}, nil
}

// Start implements part.Part.
func (p *routerPart) Start(t *tomb.Tomb) error {
	t.Go(func() error { return p.refresher.Run(t) })
	return nil
}

// Stop implements part.Part.
func (p *routerPart) Stop() {}

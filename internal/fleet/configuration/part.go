package configuration

import (
	"math/rand/v2"

	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

func init() {
	part.Register(part.Factory{
		Name:  "fleet.configuration",
		Stage: part.StageFleet,
		Make:  makePart,
	})
}

type configurationPart struct {
	follower *Follower
}

func makePart(h *part.Host) (part.Part, error) {
	holder := &Holder{
		State: part.MustGet[*gossip.State](h),
	}
	follower := &Follower{
		Holder:  holder,
		Store:   part.MustGet[keyvalue.Store](h),
		Table:   part.MustGet[*member.Table](h),
		Client:  part.MustGet[*peer.Client](h),
		Timer:   h.Timer,
		Journal: h.Journal,
		Rand:    rand.New(rand.NewPCG(h.Settings.Seed, 2)),
		Seeds:   h.Settings.Peers,
	}
	part.Provide(h, holder)
	part.Provide(h, &Editor{
		Store:  follower.Store,
		Holder: holder,
		Timer:  h.Timer,
		Push:   follower.Push,
	})
	h.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretbend_configuration_revision",
		Help: "Revision of the configuration in force.",
	}, func() float64 { return float64(holder.Revision()) }))
	return &configurationPart{
			follower: follower,
		}, part.MustGet[*peer.Server](h).Register("Configuration", &Receiver{
			Holder: holder,
		})
}

// Start implements part.Part.
func (p *configurationPart) Start(t *tomb.Tomb) error {
	t.Go(func() error { return p.follower.Run(t) })
	t.Go(func() error { return p.follower.Watch(t) })
	return nil
}

// Stop implements part.Part.
func (p *configurationPart) Stop() {}

package placement

import (
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/listing"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

func init() {
	part.Register(part.Factory{
		Name:  "fleet.placement",
		Stage: part.StageRollout,
		Make:  makePart,
	})
}

// placementPart runs the orderer.
type placementPart struct {
	orderer *Orderer
}

func makePart(h *part.Host) (part.Part, error) {
	o := &Orderer{
		Store:         part.MustGet[keyvalue.Store](h),
		Configuration: part.MustGet[*configuration.Holder](h),
		Members:       part.MustGet[*member.Table](h),
		Listing:       part.MustGet[*listing.Table](h),
		Versions:      part.MustGet[*version.Table](h),
		Engine:        part.MustGet[engine.Adapter](h),
		Timer:         h.Timer,
		Journal:       h.Journal,
		Self:          h.Settings.Name,
	}
	part.Provide(h, o)
	return &placementPart{
		orderer: o,
	}, nil
}

// Start implements part.Part.
func (p *placementPart) Start(t *tomb.Tomb) error {
	t.Go(func() error { return p.orderer.Run(t) })
	return nil
}

// Stop implements part.Part.
func (p *placementPart) Stop() {}

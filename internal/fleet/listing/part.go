package listing

import (
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/outside/roster"
)

func init() {
	part.Register(part.Factory{
		Name:  "fleet.listing",
		Stage: part.StageFleet,
		Make:  makePart,
	})
}

type listingPart struct {
	reader *Reader
}

func makePart(h *part.Host) (part.Part, error) {
	table := &Table{
		State: part.MustGet[*gossip.State](h),
	}
	part.Provide(h, table)
	return &listingPart{
		reader: &Reader{
			Book:    table,
			Source:  part.MustGet[roster.Source](h),
			Table:   part.MustGet[*member.Table](h),
			Timer:   h.Timer,
			Journal: h.Journal,
		},
	}, nil
}

// Start implements part.Part.
func (p *listingPart) Start(t *tomb.Tomb) error {
	t.Go(func() error { return p.reader.Run(t) })
	return nil
}

// Stop implements part.Part.
func (p *listingPart) Stop() {}

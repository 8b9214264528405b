package version

import (
	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/kernel/part"
)

func init() {
	part.Register(part.Factory{
		Name:  "fleet.version",
		Stage: part.StageFleet,
		Make: func(h *part.Host) (part.Part, error) {
			part.Provide(h, &Table{
				State: part.MustGet[*gossip.State](h),
			})
			return part.Noop{}, nil
		},
	})
}

package roster

import "github.com/egretbend/egretbend/internal/kernel/part"

func init() {
	part.Register(part.Factory{
		Name:  "platform.roster",
		Stage: part.StagePlatform,
		Make:  makePart,
	})
}

func makePart(h *part.Host) (part.Part, error) {
	newSource, err := Adapters.Find(h.Settings.Roster.Adapter)
	if err != nil {
		return nil, err
	}
	part.Provide(h, newSource(h.Settings.Roster.Address))
	return part.Noop{}, nil
}

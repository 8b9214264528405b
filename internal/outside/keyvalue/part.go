package keyvalue

import "github.com/egretbend/egretbend/internal/kernel/part"

func init() {
	part.Register(part.Factory{
		Name:  "platform.keyvalue",
		Stage: part.StagePlatform,
		Make:  makePart,
	})
}

func makePart(h *part.Host) (part.Part, error) {
	newStore, err := Adapters.Find(h.Settings.KeyValue.Adapter)
	if err != nil {
		return nil, err
	}
	part.Provide(h, newStore(h.Settings.KeyValue.Address))
	return part.Noop{}, nil
}

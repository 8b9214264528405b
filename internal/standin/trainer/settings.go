package trainer

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/egretbend/egretbend/internal/rollout/session"
)

// Settings are the properties of a trainer.
type Settings struct {
	Name       string `json:"name" need:"true"`
	Deployment string `json:"deployment" need:"true"`
	Groups     int    `json:"groups" default:"8" min:"1"`
	PerGroup   int    `json:"per_group" default:"8" min:"1"`
	// Tokens is the median length of a sample; lengths have a long tail.
	Tokens int `json:"tokens" default:"40" min:"1"`
	// Spread is the sigma of the lengths' log-normal distribution.
	Spread float64 `json:"spread" default:"0.5" min:"0" max:"3"`
	// TrainMS is the time of one training step, in milliseconds.
	TrainMS int64 `json:"train_ms" default:"500" min:"0"`
	// RunAhead is how many steps are submitted before they are needed.
	RunAhead int    `json:"run_ahead" default:"1" min:"0"`
	Steps    int    `json:"steps" default:"0" min:"0"`
	Seed     uint64 `json:"seed" default:"1"`
}

// lengthMost bounds a sample to this many times the median.
const lengthMost = 20

// step returns the spec of step n. It depends on the seed and n alone.
func (s *Settings) step(n uint64) session.Spec {
	r := rand.New(rand.NewPCG(s.Seed, n))
	spec := session.Spec{
		Step:       n,
		Deployment: s.Deployment,
	}
	for g := range s.Groups {
		length := float64(s.Tokens) * math.Exp(s.Spread*r.NormFloat64())
		spec.Groups = append(spec.Groups, session.Group{
			Group:     fmt.Sprintf("g%d", g),
			Prompt:    fmt.Sprintf("%s draws plan %d of step %d", s.Name, g, n),
			Samples:   s.PerGroup,
			MaxTokens: max(1, min(int(length), lengthMost*s.Tokens)),
		})
	}
	return spec
}

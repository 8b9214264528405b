package trainer

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/egretbend/egretbend/internal/rollout/session"
)

// Settings holds the properties of a trainer.
type Settings struct {
	Name       string `json:"name" need:"true"`
	Deployment string `json:"deployment" need:"true"`
	// Groups is the number of groups in a step.
	Groups int `json:"groups" default:"8" min:"1"`
	// SamplesPerGroup is the number of samples in a group.
	SamplesPerGroup int `json:"per_group" default:"8" min:"1"`
	// Tokens is the median length of a sample. The lengths have a log-normal
	// distribution, which has a long tail.
	Tokens int `json:"tokens" default:"40" min:"1"`
	// LengthSigma is the sigma of that distribution.
	LengthSigma float64 `json:"spread" default:"0.5" min:"0" max:"3"`
	// TrainMS is the time that the trainer spends on a step after its samples have
	// arrived, in milliseconds.
	TrainMS int64 `json:"train_ms" default:"500" min:"0"`
	// RunAhead is the number of steps that are submitted in advance.
	RunAhead int `json:"run_ahead" default:"1" min:"0"`
	// Steps is the number of steps to train; 0 is no limit.
	Steps int    `json:"steps" default:"0" min:"0"`
	Seed  uint64 `json:"seed" default:"1"`
}

// maxLengthFactor limits the length of a sample to this multiple of the median.
const maxLengthFactor = 20

// stepSpec returns the spec of step n. It is the same at each call, as its random
// lengths depend only on the seed and n.
func (s *Settings) stepSpec(n uint64) session.Spec {
	r := rand.New(rand.NewPCG(s.Seed, n))
	spec := session.Spec{
		Step:       n,
		Deployment: s.Deployment,
	}
	for g := range s.Groups {
		length := float64(s.Tokens) * math.Exp(s.LengthSigma*r.NormFloat64())
		spec.Groups = append(spec.Groups, session.Group{
			Group:     fmt.Sprintf("g%d", g),
			Prompt:    fmt.Sprintf("%s draws plan %d of step %d", s.Name, g, n),
			Samples:   s.SamplesPerGroup,
			MaxTokens: max(1, min(int(length), maxLengthFactor*s.Tokens)),
		})
	}
	return spec
}

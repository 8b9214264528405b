package session

import (
	"fmt"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/rollout/sample"
)

// Limits of steps.
const (
	// MaxSamples is the largest number of samples of a step.
	MaxSamples = 65536
	// MaxOpenSteps is the largest number of open steps of a session.
	MaxOpenSteps = 64
)

// Group requests a number of samples for one prompt.
type Group struct {
	// Group is the name of the group, which is unique within its step.
	Group  string `json:"group"`
	Prompt string `json:"prompt"`
	// Samples is the number of samples.
	Samples   int `json:"samples"`
	MaxTokens int `json:"max_tokens"`
}

// Spec describes a step, as submitted by the trainer.
type Spec struct {
	Step       uint64  `json:"step"`
	Deployment string  `json:"deployment"`
	Groups     []Group `json:"groups"`
	// DropAfterMS is the time until the step is dropped, in milliseconds; zero
	// means that of the deployment.
	DropAfterMS int64 `json:"drop_after_ms,omitempty"`
	// Have lists the samples that the trainer has from earlier sessions.
	Have []sample.Key `json:"have,omitempty"`
}

// Check returns problem.BadRequest for an invalid spec.
func (s *Spec) Check() error {
	total := 0
	seen := make(map[string]bool)
	for i, g := range s.Groups {
		if g.Group == "" || seen[g.Group] {
			return problem.BadRequest.Withf("groups[%d].group: expected a name used once, got %q", i, g.Group)
		}
		seen[g.Group] = true
		if g.Samples < 1 || g.MaxTokens < 1 || g.Prompt == "" {
			return problem.BadRequest.Withf("groups[%d]: expected a prompt and at least 1 sample and 1 max_tokens", i)
		}
		total += g.Samples
	}
	if total == 0 || total > MaxSamples {
		return problem.BadRequest.Withf("groups: expected 1 to %d samples, got %d", MaxSamples, total)
	}
	if s.Deployment == "" || s.DropAfterMS < 0 {
		return problem.BadRequest.With(fmt.Errorf("expected a deployment and a drop_after_ms of at least 0"))
	}
	return nil
}

package scenario

import (
	"encoding/json"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/load/orders"
	"github.com/egretbend/egretbend/internal/standin/engine"
	"github.com/egretbend/egretbend/internal/standin/service"
	"github.com/egretbend/egretbend/internal/standin/trainer"
)

// Scenario is one experiment.
type Scenario struct {
	Name           string   `json:"name" need:"true"`
	Seconds        int      `json:"seconds" default:"30" min:"1" max:"600"`
	Region         string   `json:"region" default:"be-flanders"`
	FailureDomains []string `json:"failure_domains" need:"true"`
	// Instances are spread over the failure domains in turn.
	Instances int    `json:"instances" default:"18" min:"1" max:"200"`
	LogLevel  string `json:"log_level" default:"info" oneof:"debug,info,warn,error"`
	// Configuration is a file with the configuration, relative to the
	// scenario's own folder.
	Configuration string `json:"configuration" need:"true"`
	// Change is applied to the deployments of the configuration, by name.
	Change   []Change           `json:"change"`
	Weights  Weights            `json:"weights"`
	Engines  []Upstreams        `json:"engines"`
	Services []Upstreams        `json:"services"`
	Orders   []orders.Settings  `json:"orders"`
	Trainers []trainer.Settings `json:"trainers"`
	Events   []Event            `json:"events"`
	// Variants are run one after the other on the same seed.
	Variants []Variant `json:"variants"`
}

// Change sets a field of a deployment.
type Change struct {
	Deployment     string   `json:"deployment" need:"true"`
	Policy         string   `json:"policy" default:""`
	SecondAttempts *float64 `json:"second_attempts"`
	Weighting      string   `json:"weighting" default:""`
	MaxVersions    *float64 `json:"max_versions"`
	DropAfterMS    *float64 `json:"drop_after_ms"`
}

// Variant is one side of a comparison.
type Variant struct {
	Name   string   `json:"name" need:"true"`
	Change []Change `json:"change"`
	// RunAhead overrides the trainers' run-ahead where it is set.
	RunAhead *float64 `json:"run_ahead"`
}

// Weights describe the weight store.
type Weights struct {
	PerSecond float64 `json:"per_second" default:"20" min:"0.1"`
	TookMS    int64   `json:"took_ms" default:"200" min:"0"`
}

// Upstreams are a number of upstreams of one kind.
type Upstreams struct {
	Count   int               `json:"count" default:"10" min:"1" max:"200"`
	Engine  *engine.Settings  `json:"engine"`
	Service *service.Settings `json:"service"`
}

// Event brings something about at a moment of the run.
type Event struct {
	AtMS int64 `json:"at_ms" min:"0"`
	// EveryMS repeats the event, if it is not zero.
	EveryMS int64 `json:"every_ms" default:"0" min:"0"`
	// Target is the name of a process: an instance, an upstream, keyvalue,
	// roster or weights. A trailing * stands for all that begin so, and "any"
	// in place of the * for one of them in turn.
	Target string `json:"target" need:"true"`
	// Action is fault, kill, restart, stop, freeze, thaw or leave.
	Action string `json:"action" need:"true" oneof:"fault,kill,restart,stop,freeze,thaw,leave"`
	// Fault is the body for the target's fault door.
	Fault map[string]Value `json:"fault"`
}

// Value is any JSON number or boolean of a fault.
type Value float64

// Body returns the fault as JSON.
func (e Event) Body() []byte {
	out := make(map[string]any, len(e.Fault))
	for name, v := range e.Fault {
		switch name {
		case "down", "stale", "no_version", "switch_fails":
			out[name] = v != 0
		default:
			out[name] = float64(v)
		}
	}
	b, err := json.Marshal(out)
	if err != nil {
		return []byte("{}")
	}
	return b
}

// Apply returns the configuration with the changes made.
func Apply(cfg configuration.Configuration, changes []Change) configuration.Configuration {
	cfg.Deployments = append([]configuration.Deployment(nil), cfg.Deployments...)
	for _, c := range changes {
		for i := range cfg.Deployments {
			if cfg.Deployments[i].Name == c.Deployment {
				c.applyTo(&cfg.Deployments[i])
			}
		}
	}
	return cfg
}

func (c Change) applyTo(d *configuration.Deployment) {
	if c.Policy != "" {
		d.Policy = c.Policy
	}
	if c.Weighting != "" {
		d.Rounds.Weighting = configuration.Weighting(c.Weighting)
	}
	if c.SecondAttempts != nil {
		d.Rounds.SecondAttempts = *c.SecondAttempts
	}
	if c.MaxVersions != nil {
		d.Staleness.MaxVersions = uint64(*c.MaxVersions)
	}
	if c.DropAfterMS != nil {
		d.Rounds.DropAfterMS = int64(*c.DropAfterMS)
	}
}

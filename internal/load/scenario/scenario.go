package scenario

import (
	"encoding/json"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/load/loadgen"
	"github.com/egretbend/egretbend/internal/standin/engine"
	"github.com/egretbend/egretbend/internal/standin/service"
	"github.com/egretbend/egretbend/internal/standin/trainer"
)

// Scenario describes one experiment.
type Scenario struct {
	Name           string   `json:"name" need:"true"`
	Seconds        int      `json:"seconds" default:"30" min:"1" max:"600"`
	Region         string   `json:"region" default:"be-flanders"`
	FailureDomains []string `json:"failure_domains" need:"true"`
	// Instances is the number of instances. They are assigned to the failure
	// domains in turn.
	Instances int    `json:"instances" default:"18" min:"1" max:"200"`
	LogLevel  string `json:"log_level" default:"info" oneof:"debug,info,warn,error"`
	// Configuration is the path of the configuration file, relative to the
	// directory of the scenario file.
	Configuration string `json:"configuration" need:"true"`
	// Overrides lists overrides of deployments in the configuration.
	Overrides []DeploymentOverride `json:"change"`
	Weights   WeightStore          `json:"weights"`
	Engines   []UpstreamGroup      `json:"engines"`
	Services  []UpstreamGroup      `json:"services"`
	Orders    []loadgen.Settings   `json:"orders"`
	Trainers  []trainer.Settings   `json:"trainers"`
	Events    []Event              `json:"events"`
	// Variants are run one after the other with the same seeds.
	Variants []Variant `json:"variants"`
}

// DeploymentOverride overrides fields of the deployment with the given name. Empty
// and nil fields leave the configured value.
type DeploymentOverride struct {
	Deployment     string   `json:"deployment" need:"true"`
	Policy         string   `json:"policy" default:""`
	SecondAttempts *float64 `json:"second_attempts"`
	Weighting      string   `json:"weighting" default:""`
	MaxVersions    *float64 `json:"max_versions"`
	DropAfterMS    *float64 `json:"drop_after_ms"`
}

// Variant is a named set of overrides that a scenario is run with, to compare it
// with other variants.
type Variant struct {
	Name      string               `json:"name" need:"true"`
	Overrides []DeploymentOverride `json:"change"`
	// RunAhead overrides the run-ahead of all trainers, if it is set.
	RunAhead *float64 `json:"run_ahead"`
}

// WeightStore holds the settings of the weight store: the fetches that may begin
// per second, and the duration of a fetch.
type WeightStore struct {
	FetchesPerSecond float64 `json:"per_second" default:"20" min:"0.1"`
	FetchMS          int64   `json:"took_ms" default:"200" min:"0"`
}

// UpstreamGroup describes a number of upstreams with the same settings: engines or
// services, depending on the list of the scenario that contains it.
type UpstreamGroup struct {
	Count   int               `json:"count" default:"10" min:"1" max:"200"`
	Engine  *engine.Settings  `json:"engine"`
	Service *service.Settings `json:"service"`
}

// Event is an action on one or more processes at a given time of the run.
type Event struct {
	AtMS int64 `json:"at_ms" min:"0"`
	// EveryMS is the interval at which the event repeats; 0 does not repeat it.
	EveryMS int64 `json:"every_ms" default:"0" min:"0"`
	// Target is the name of a process: an instance, an upstream, keyvalue,
	// roster or weights. A trailing * selects all processes whose name begins
	// with the text before it; a trailing "any" selects one of them in turn.
	Target string `json:"target" need:"true"`
	// Action is fault, kill, restart, stop, freeze, thaw or leave.
	Action string `json:"action" need:"true" oneof:"fault,kill,restart,stop,freeze,thaw,leave"`
	// Fault is the body of the request to the target's fault endpoint.
	Fault map[string]FaultValue `json:"fault"`
}

// FaultValue is the value of a fault field. Fields that are booleans on the wire
// are written as 0 or 1.
type FaultValue float64

// FaultBody returns the fault as JSON, with boolean fields as booleans.
func (e Event) FaultBody() []byte {
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

// ApplyOverrides returns a copy of cfg with the overrides applied to its
// deployments. Overrides of unknown deployments are ignored.
func ApplyOverrides(cfg configuration.Configuration, overrides []DeploymentOverride) configuration.Configuration {
	cfg.Deployments = append([]configuration.Deployment(nil), cfg.Deployments...)
	for _, o := range overrides {
		for i := range cfg.Deployments {
			if cfg.Deployments[i].Name == o.Deployment {
				o.applyTo(&cfg.Deployments[i])
			}
		}
	}
	return cfg
}

// applyTo overwrites the fields of d that o sets.
func (o DeploymentOverride) applyTo(d *configuration.Deployment) {
	if o.Policy != "" {
		d.Policy = o.Policy
	}
	if o.Weighting != "" {
		d.Rounds.Weighting = configuration.Weighting(o.Weighting)
	}
	if o.SecondAttempts != nil {
		d.Rounds.SecondAttempts = *o.SecondAttempts
	}
	if o.MaxVersions != nil {
		d.Staleness.MaxVersions = uint64(*o.MaxVersions)
	}
	if o.DropAfterMS != nil {
		d.Rounds.DropAfterMS = int64(*o.DropAfterMS)
	}
}

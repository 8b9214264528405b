package configuration

import (
	"fmt"
	"slices"

	"github.com/egretbend/egretbend/internal/kernel/setting"
	"github.com/egretbend/egretbend/internal/route/organisation"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Format is the version of the configuration format.
const Format = 1

// Configuration holds everything that operators can change at run time.
type Configuration struct {
	Format      int          `json:"format" need:"true" min:"1" max:"1" doc:"version of this format"`
	Team        string       `json:"team" need:"true" doc:"name of the team that runs this fleet"`
	Deployments []Deployment `json:"deployments" need:"true" doc:"models and services that are served"`
	Callers     []Caller     `json:"callers" doc:"callers with a priority or weight of their own"`
	Trainers    []Trainer    `json:"trainers" doc:"trainers with a weight of their own"`
	Addresses   Addresses    `json:"addresses" doc:"what callers are told to connect to"`
	// Organisations lists the organisations whose keys requests must carry. If it
	// is empty, requests need no key.
	Organisations []Organisation `json:"organisations,omitempty" doc:"organisations whose keys requests must bear; without any, requests need no key"`
}

// Organisation is an organisation on whose behalf requests are made, with the
// digests of its keys.
type Organisation struct {
	Name       string   `json:"name" need:"true" doc:"name of the organisation"`
	KeyDigests []string `json:"key_digests" doc:"SHA-256 digests of its keys in hexadecimal, as printed by egretbend digest"`
	Priority   string   `json:"priority" default:"interactive" oneof:"interactive,training,background" doc:"highest priority of its requests; goes before that of a caller"`
	// AllowedRegions are the regions in which its requests may be served; nil allows all.
	AllowedRegions []string `json:"allowed_regions,omitempty" doc:"regions in which its requests may be served; without the list, all regions of the deployment"`
}

// Kind is the type of a deployment's upstreams.
type Kind string

// The kinds of deployments: plain services and model engines.
const (
	KindService Kind = "service"
	KindModel   Kind = "model"
)

// Weighting selects the measure that takes precedence when trainer idle time and
// sample staleness conflict.
type Weighting string

// The values of Weighting.
const (
	WeightIdleTime  Weighting = "idle_time"
	WeightStaleness Weighting = "staleness"
)

// Deployment configures one model or service.
type Deployment struct {
	Name                 string    `json:"name" need:"true" doc:"name that callers use"`
	Kind                 Kind      `json:"kind" need:"true" oneof:"service,model" doc:"whether upstreams are plain services or model engines"`
	Group                string    `json:"group" need:"true" doc:"group of the upstreams in the instance list"`
	Policy               string    `json:"policy" default:"two_choices" doc:"routing policy: two_choices, prefix_affinity, least_reported or random"`
	SubsetSize           int       `json:"subset_size" default:"64" min:"1" max:"2000" doc:"most upstreams that one instance routes to"`
	Slots                int       `json:"slots" default:"8" min:"1" max:"4096" doc:"requests that one upstream serves at once"`
	QueueShare           float64   `json:"queue_share" default:"0.5" min:"0" max:"8" doc:"requests that may wait at an upstream, as a share of its slots"`
	TimeoutMS            int64     `json:"timeout_ms" default:"30000" min:"1" max:"3600000" doc:"longest time of a request whose caller gives no deadline, in milliseconds"`
	Attempts             int       `json:"attempts" default:"3" min:"1" max:"10" doc:"most attempts of an idempotent request"`
	RetryShare           float64   `json:"retry_share" default:"0.1" min:"0" max:"1" doc:"retries allowed as a share of requests that succeed"`
	EchoesAttempt        bool      `json:"echoes_attempt" default:"false" doc:"whether the upstream answers with the attempt's id; without it a connection carries one request"`
	ChecksFencing        bool      `json:"checks_fencing" default:"false" doc:"whether the engines refuse an order with an old fencing number"`
	MaxAnswerBytes       int64     `json:"max_answer_bytes" default:"8388608" min:"1" max:"1073741824" doc:"largest answer of a service, in bytes"`
	Shards               int       `json:"shards" default:"1" min:"1" max:"1024" doc:"leases that share the orders to engines"`
	MaxConcurrentFetches int       `json:"fetches_at_once" default:"4" min:"1" max:"10000" doc:"engines that fetch weights at the same time, over all shards"`
	Staleness            Staleness `json:"staleness" doc:"how old a sample may be (models)"`
	Rounds               Rounds    `json:"rounds" doc:"how steps are worked off (models)"`
	// AllowedRegions are the regions in which its requests may be served; nil allows all.
	AllowedRegions []string `json:"allowed_regions,omitempty" doc:"regions in which its requests may be served and its samples copied; without the list, all regions"`
}

// Regions returns the regions in which requests of the deployment may be served.
func (d Deployment) Regions() residency.Regions { return residency.FromList(d.AllowedRegions) }

// Staleness bounds the age of samples.
type Staleness struct {
	MaxVersions uint64 `json:"max_versions" default:"4" max:"1000000" doc:"most versions between a sample's oldest version and the newest published one"`
	MaxAgeMS    int64  `json:"max_age_ms" default:"0" min:"0" doc:"most milliseconds from a sample's first token to its hand-over; 0 sets no bound"`
}

// Rounds configures how the steps of trainers are run.
type Rounds struct {
	Weighting            Weighting `json:"weighting" default:"idle_time" oneof:"idle_time,staleness" doc:"measure that goes first"`
	DropAfterMS          int64     `json:"drop_after_ms" default:"0" min:"0" doc:"a step older than this is dropped and recorded, in milliseconds; 0 never drops"`
	SecondAttempts       float64   `json:"second_attempts" default:"0.05" min:"0" max:"1" doc:"second attempts of late samples allowed, as a share of a step's samples"`
	MaxConcurrentSamples int       `json:"at_once" default:"256" min:"1" max:"100000" doc:"most samples of one session that run at the same time"`
}

// Caller sets the priority and the weight of one caller.
type Caller struct {
	Name     string  `json:"name" need:"true" doc:"name that the caller sends as Egretbend-Caller"`
	Priority string  `json:"priority" default:"interactive" oneof:"interactive,training,background" doc:"highest priority of its requests"`
	Weight   float64 `json:"weight" default:"1" min:"0.01" max:"1000" doc:"share relative to other callers when capacity is short"`
}

// Trainer sets the weight of one trainer.
type Trainer struct {
	Name   string  `json:"name" need:"true" doc:"name that the trainer uses in paths"`
	Weight float64 `json:"weight" default:"1" min:"0.01" max:"1000" doc:"share relative to other trainers of the same engines"`
}

// Addresses configures how many instance addresses callers get, and for how long.
type Addresses struct {
	Count int   `json:"count" default:"3" min:"1" max:"16" doc:"addresses in one answer"`
	TTLMS int64 `json:"keep_ms" default:"10000" min:"100" max:"600000" doc:"how long a caller may keep an answer, in milliseconds"`
}

// Validate implements setting.Validator. It reports duplicate names, invalid key
// digests and keys that several organisations share.
func (c *Configuration) Validate(string) []setting.FieldError {
	var faults []setting.FieldError
	seen := make(map[string]bool)
	for i, d := range c.Deployments {
		if seen[d.Name] {
			faults = append(faults, setting.FieldError{
				Path:     fmt.Sprintf("deployments[%d].name", i),
				Expected: "a unique name",
				Got:      fmt.Sprintf("duplicate %q", d.Name),
				Remedy:   "rename or remove one of them",
			})
		}
		seen[d.Name] = true
		faults = append(faults, CheckRegions(fmt.Sprintf("deployments[%d].allowed_regions", i), d.AllowedRegions)...)
	}
	return append(faults, c.checkOrganisations()...)
}

// CheckRegions returns the mistakes in a list of allowed regions at a path: a list that allows
// nothing, and names that are empty or listed twice. Which regions there are is not known before
// instances run.
func CheckRegions(path string, regions []string) []setting.FieldError {
	var faults []setting.FieldError
	if regions != nil && len(regions) == 0 {
		faults = append(faults, setting.FieldError{
			Path:     path,
			Expected: "at least one region",
			Got:      "[]",
			Remedy:   "name a region, or remove the list to allow all regions",
		})
	}
	for i, region := range regions {
		if region == "" || slices.Contains(regions[:i], region) {
			faults = append(faults, setting.FieldError{
				Path:     fmt.Sprintf("%s[%d]", path, i),
				Expected: "the name of a region, once",
				Got:      fmt.Sprintf("%q", region),
				Remedy:   "use the name in the settings of the instances there",
			})
		}
	}
	return faults
}

// Restricted reports whether any deployment or organisation is restricted to regions.
func (c *Configuration) Restricted() bool {
	return slices.ContainsFunc(c.Deployments, func(d Deployment) bool { return d.AllowedRegions != nil }) ||
		slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return o.AllowedRegions != nil })
}

// checkOrganisations reports duplicate names, invalid digests and keys listed more
// than once.
func (c *Configuration) checkOrganisations() []setting.FieldError {
	var faults []setting.FieldError
	names := make(map[string]bool)
	owners := make(map[organisation.Digest]string)
	for i, o := range c.Organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		if names[o.Name] {
			faults = append(faults, setting.FieldError{
				Path:     path + ".name",
				Expected: "a unique name",
				Got:      fmt.Sprintf("duplicate %q", o.Name),
				Remedy:   "rename or remove one of them",
			})
		}
		names[o.Name] = true
		faults = append(faults, CheckRegions(path+".allowed_regions", o.AllowedRegions)...)
		for j, text := range o.KeyDigests {
			fault := setting.FieldError{
				Path: fmt.Sprintf("%s.key_digests[%d]", path, j),
			}
			digest, err := organisation.ParseDigest(text)
			owner, found := owners[digest]
			switch {
			case err != nil:
				fault.Expected = "a SHA-256 digest in hexadecimal"
				// The value is not printed, as it may be a key.
				fault.Got = "a value in another form"
				fault.Remedy = err.Error()
			case found:
				fault.Expected = "a key of one organisation"
				fault.Got = fmt.Sprintf("one that %q holds too", owner)
				fault.Remedy = "create another key"
			default:
				owners[digest] = o.Name
				continue
			}
			faults = append(faults, fault)
		}
	}
	return faults
}

// OrganisationDirectory returns an index of the organisations by the digests of their keys.
func (c *Configuration) OrganisationDirectory() organisation.Directory {
	list := make([]organisation.Organisation, 0, len(c.Organisations))
	for _, o := range c.Organisations {
		entry := organisation.Organisation{
			Name:    o.Name,
			Regions: residency.FromList(o.AllowedRegions),
		}
		for _, text := range o.KeyDigests {
			// Validate has rejected invalid digests.
			if digest, err := organisation.ParseDigest(text); err == nil {
				entry.Digests = append(entry.Digests, digest)
			}
		}
		list = append(list, entry)
	}
	return organisation.NewDirectory(list)
}

// Organisation returns the organisation called name.
func (c *Configuration) Organisation(name string) (Organisation, bool) {
	for _, o := range c.Organisations {
		if o.Name == name {
			return o, true
		}
	}
	return Organisation{}, false
}

// Deployment returns the deployment called name.
func (c *Configuration) Deployment(name string) (Deployment, bool) {
	for _, d := range c.Deployments {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

// Caller returns the settings of the caller called name, or the defaults if it has
// no entry.
func (c *Configuration) Caller(name string) Caller {
	for _, caller := range c.Callers {
		if caller.Name == name {
			return caller
		}
	}
	return Caller{
		Name:     name,
		Priority: "interactive",
		Weight:   1,
	}
}

// TrainerWeight returns the weight of the trainer called name, or 1 if it has no
// entry.
func (c *Configuration) TrainerWeight(name string) float64 {
	for _, t := range c.Trainers {
		if t.Name == name {
			return t.Weight
		}
	}
	return 1
}

package questionnaire

import (
	"encoding/json"
	"fmt"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
)

// Reason states which answer a generated value follows from, and why.
type Reason struct {
	Path   string `json:"path"`
	Value  string `json:"value"`
	Answer string `json:"answer"`
	Why    string `json:"why"`
}

// generator collects the reasons of the generated values.
type generator struct {
	reasons []Reason
}

// withReason records the reason for v at path and returns v.
func withReason[T any](g *generator, path string, v T, answer, why string) T {
	g.reasons = append(g.reasons, Reason{
		Path:   path,
		Value:  fmt.Sprint(v),
		Answer: answer,
		Why:    why,
	})
	return v
}

// Generate returns the configuration that follows from the answers, as indented JSON,
// and the reason for each value.
func Generate(a *Answers) ([]byte, []Reason, error) {
	g := &generator{}
	cfg := configuration.Configuration{
		Format:      configuration.Format,
		Team:        a.Team,
		Deployments: []configuration.Deployment{},
		Callers:     []configuration.Caller{},
		Trainers:    []configuration.Trainer{},
		Addresses:   g.addresses(a),
	}
	for i, s := range a.Services {
		cfg.Deployments = append(cfg.Deployments, g.serviceDeployment(len(cfg.Deployments), i, s))
	}
	for i, m := range a.Models {
		cfg.Deployments = append(cfg.Deployments, g.modelDeployment(len(cfg.Deployments), i, m))
		for j, t := range m.Trainers {
			cfg.Trainers = append(cfg.Trainers, g.trainer(len(cfg.Trainers), i, j, t))
		}
	}
	for i, c := range a.Callers {
		cfg.Callers = append(cfg.Callers, g.caller(i, c))
	}
	for i, o := range a.Organisations {
		cfg.Organisations = append(cfg.Organisations, g.organisation(i, o))
	}
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return nil, nil, err
	}
	// The generated configuration must pass the same checks as one written by hand.
	if _, err := configuration.Parse(data); err != nil {
		return nil, nil, fmt.Errorf("the answers do not give a valid configuration: %w", err)
	}
	return append(data, '\n'), g.reasons, nil
}

// addressTTLShare is the share of Answers.ReplaceSeconds for which callers may keep
// addresses. The rest is for the leaving mark of an instance to spread, and for requests
// in flight.
const addressTTLShare = 0.4

// maxAddressTTLMS is the longest time that a caller may keep addresses, in milliseconds.
const maxAddressTTLMS = 30_000

// addresses returns how many addresses callers get, and how long they may keep them.
func (g *generator) addresses(a *Answers) configuration.Addresses {
	ttlMS := min(int64(float64(a.ReplaceSeconds)*addressTTLShare*1000), maxAddressTTLMS)
	count := min(3, a.EntryInstances)
	return configuration.Addresses{
		TTLMS: withReason(g, "addresses.keep_ms", ttlMS, "replace_seconds",
			"a leaving instance waits until all address lists that name it have expired"),
		Count: withReason(g, "addresses.count", count, "entry_instances",
			"a caller needs other addresses when one instance is gone"),
	}
}

// defaultDeployment returns a deployment with the default values, some of which the
// answers replace.
func defaultDeployment(name, group string, kind configuration.Kind) configuration.Deployment {
	return configuration.Deployment{
		Name:                 name,
		Kind:                 kind,
		Group:                group,
		SubsetSize:           64,
		QueueShare:           0.5,
		Attempts:             3,
		RetryShare:           0.1,
		MaxAnswerBytes:       8 << 20,
		Shards:               1,
		MaxConcurrentFetches: 4,
		Staleness: configuration.Staleness{
			MaxVersions: 4,
		},
		Rounds: configuration.Rounds{
			Weighting:            configuration.WeightIdleTime,
			SecondAttempts:       0.05,
			MaxConcurrentSamples: 256,
		},
	}
}

// serviceDeployment returns the deployment at index that follows from the answers about
// a service.
func (g *generator) serviceDeployment(index, answerIndex int, s Service) configuration.Deployment {
	path := fmt.Sprintf("deployments[%d]", index)
	answerPath := fmt.Sprintf("services[%d].", answerIndex)
	d := defaultDeployment(s.Name, s.Group, configuration.KindService)
	d.Policy = withReason(g, path+".policy", "two_choices", answerPath+"name", "a plain service caches nothing that would make one upstream better for a caller")
	d.Slots = withReason(g, path+".slots", s.AtOnce, answerPath+"at_once", "more requests would only wait at the upstream")
	d.TimeoutMS = withReason(g, path+".timeout_ms", int64(s.LongestSeconds)*1000, answerPath+"longest_seconds", "no answer takes longer")
	d.EchoesAttempt = withReason(g, path+".echoes_attempt", s.EchoesAttempt, answerPath+"echoes_attempt",
		"without the echo each connection carries one request, so that answers can't be mixed up")
	d.MaxAnswerBytes = withReason(g, path+".max_answer_bytes", s.LargestAnswerKB<<10, answerPath+"largest_answer_kb", "a larger answer cannot come from the service")
	d.AllowedRegions = g.regions(path+".allowed_regions", answerPath+"allowed_regions", s.AllowedRegions)
	attempts := 3
	if s.RepeatHarms {
		attempts = 2
	}
	d.Attempts = withReason(g, path+".attempts", attempts, answerPath+"repeat_harms",
		"a request that may not be repeated is retried only if no byte of it can have been sent")
	return d
}

// enginesPerShard is the number of engines to which one lease holder sends orders.
const enginesPerShard = 160

// Second attempts of late samples allowed, as a share of a step's samples, by the
// measure that takes precedence.
const (
	secondAttemptsIdleTime  = 0.15
	secondAttemptsStaleness = 0.08
)

// modelDeployment returns the deployment at index that follows from the answers about a
// model.
func (g *generator) modelDeployment(index, answerIndex int, m Model) configuration.Deployment {
	path := fmt.Sprintf("deployments[%d]", index)
	answerPath := fmt.Sprintf("models[%d].", answerIndex)
	d := defaultDeployment(m.Name, m.Group, configuration.KindModel)
	policy := "two_choices"
	if m.SharedPrompts {
		policy = "prefix_affinity"
	}
	d.Policy = withReason(g, path+".policy", policy, answerPath+"shared_prompts", "prompts with the same prefix go to an engine that has it cached")
	d.Slots = withReason(g, path+".slots", m.AtOnce, answerPath+"at_once", "more requests would only wait at the upstream")
	d.TimeoutMS = withReason(g, path+".timeout_ms", int64(m.LongestSeconds)*1000, answerPath+"longest_seconds", "a stream that takes longer is cancelled")
	d.ChecksFencing = withReason(g, path+".checks_fencing", m.ChecksOrders, answerPath+"checks_orders", "engines that don't check fencing numbers are read back and corrected")
	d.Shards = withReason(g, path+".shards", max(1, (m.Engines+enginesPerShard-1)/enginesPerShard), answerPath+"engines",
		fmt.Sprintf("one holder orders about %d engines", enginesPerShard))
	d.MaxConcurrentFetches = withReason(g, path+".fetches_at_once", max(m.FetchesAtOnce, d.Shards), answerPath+"fetches_at_once", "the weight store is rate-limited")
	d.Staleness.MaxVersions = withReason(g, path+".staleness.max_versions", m.OldestVersions, answerPath+"oldest_versions", "no sample is handed over beyond it")
	d.Staleness.MaxAgeMS = withReason(g, path+".staleness.max_age_ms", m.OldestSeconds*1000, answerPath+"oldest_seconds", "no sample is handed over beyond it")
	d.AllowedRegions = g.regions(path+".allowed_regions", answerPath+"allowed_regions", m.AllowedRegions)
	g.setRounds(&d, path+".rounds", answerPath, m)
	return d
}

// setRounds sets how the steps of a model's trainers are run.
func (g *generator) setRounds(d *configuration.Deployment, path, answerPath string, m Model) {
	weighting, secondAttempts := configuration.WeightIdleTime, secondAttemptsIdleTime
	if m.Precedence == "staleness" {
		weighting, secondAttempts = configuration.WeightStaleness, secondAttemptsStaleness
	}
	d.Rounds.Weighting = withReason(g, path+".weighting", weighting, answerPath+"matters_more", "engines with the newest weights are preferred only if staleness takes precedence")
	d.Rounds.SecondAttempts = withReason(g, path+".second_attempts", secondAttempts, answerPath+"matters_more", "second attempts shorten the wait for the last samples at some cost")
	d.Rounds.DropAfterMS = withReason(g, path+".drop_after_ms", m.LateAfterSeconds*1000, answerPath+"late_after_seconds", "a step that falls behind is dropped, not forced")
	d.Rounds.MaxConcurrentSamples = withReason(g, path+".at_once", max(16, 2*m.SamplesPerStep), answerPath+"samples_per_step", "two steps may run at the same time")
}

func (g *generator) trainer(index, modelIndex, answerIndex int, t Trainer) configuration.Trainer {
	return configuration.Trainer{
		Name: t.Name,
		Weight: withReason(g, fmt.Sprintf("trainers[%d].weight", index), t.Share, fmt.Sprintf("models[%d].trainers[%d].share", modelIndex, answerIndex),
			"trainers share engines by weight when capacity is short"),
	}
}

// priority returns the priority that follows from who waits for the answers.
func (g *generator) priority(path, whoWaits string) string {
	priority := "interactive"
	switch whoWaits {
	case "a_trainer":
		priority = "training"
	case "nobody":
		priority = "background"
	}
	return withReason(g, path+".priority", priority, path+".who_waits",
		"requests that a person waits for take precedence; requests that nobody waits for yield")
}

func (g *generator) organisation(i int, o Organisation) configuration.Organisation {
	path := fmt.Sprintf("organisations[%d]", i)
	return configuration.Organisation{
		Name: o.Name,
		KeyDigests: withReason(g, path+".key_digests", o.KeyDigests, path+".key_digests",
			"a configuration holds only digests of keys, not the keys"),
		Priority:       g.priority(path, o.WhoWaits),
		AllowedRegions: g.regions(path+".allowed_regions", path+".allowed_regions", o.AllowedRegions),
	}
}

// regions returns a list of allowed regions, with a reason if there is one.
func (g *generator) regions(path, answerPath string, regions []string) []string {
	if regions == nil {
		return nil
	}
	return withReason(g, path, regions, answerPath, "requests must not be served or stored in other regions")
}

func (g *generator) caller(i int, c Caller) configuration.Caller {
	return configuration.Caller{
		Name:     c.Name,
		Priority: g.priority(fmt.Sprintf("callers[%d]", i), c.WhoWaits),
		Weight: withReason(g, fmt.Sprintf("callers[%d].weight", i), c.Share, fmt.Sprintf("callers[%d].share", i),
			"callers share by weight when capacity is short"),
	}
}

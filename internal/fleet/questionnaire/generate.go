package questionnaire

import (
	"encoding/json"
	"fmt"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
)

// Reason says from which answer a generated value follows.
type Reason struct {
	Path   string `json:"path"`
	Value  string `json:"value"`
	Answer string `json:"answer"`
	Why    string `json:"why"`
}

// generator collects values and their reasons.
type generator struct {
	reasons []Reason
}

// because notes a reason and returns the value.
func because[T any](g *generator, path string, v T, answer, why string) T {
	g.reasons = append(g.reasons, Reason{
		Path:   path,
		Value:  fmt.Sprint(v),
		Answer: answer,
		Why:    why,
	})
	return v
}

// Generate returns the configuration that follows from answers, as indented
// JSON, and the reason of each value.
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
		cfg.Deployments = append(cfg.Deployments, g.service(len(cfg.Deployments), i, s))
	}
	for i, m := range a.Models {
		cfg.Deployments = append(cfg.Deployments, g.model(len(cfg.Deployments), i, m))
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
	// What is generated is held against the same checks as what an operator
	// writes by hand.
	if _, err := configuration.Parse(data); err != nil {
		return nil, nil, fmt.Errorf("the answers give no valid configuration: %w", err)
	}
	return append(data, '\n'), g.reasons, nil
}

// keepShare is the part of the replacing time that callers may keep answers;
// the rest is for the word to spread and for requests in flight.
const keepShare = 0.4

// keepMost is the longest that a caller keeps an answer.
const keepMost = 30_000

func (g *generator) addresses(a *Answers) configuration.Addresses {
	keep := min(int64(float64(a.ReplaceSeconds)*keepShare*1000), keepMost)
	count := min(3, a.EntryInstances)
	return configuration.Addresses{
		KeepMS: because(g, "addresses.keep_ms", keep, "replace_seconds",
			"a leaving instance waits until all answers that name it have run out"),
		Count: because(g, "addresses.count", count, "entry_instances",
			"a caller needs others to turn to when one is gone"),
	}
}

// base returns a deployment with the values that no answer changes.
func base(name, group string, kind configuration.Kind) configuration.Deployment {
	return configuration.Deployment{
		Name:           name,
		Kind:           kind,
		Group:          group,
		SubsetSize:     64,
		QueueShare:     0.5,
		Attempts:       3,
		RetryShare:     0.1,
		MaxAnswerBytes: 8 << 20,
		Shards:         1,
		FetchesAtOnce:  4,
		Staleness: configuration.Staleness{
			MaxVersions: 4,
		},
		Rounds: configuration.Rounds{
			Weighting:      configuration.WeightIdleTime,
			SecondAttempts: 0.05,
			AtOnce:         256,
		},
	}
}

func (g *generator) service(at, i int, s Service) configuration.Deployment {
	path := fmt.Sprintf("deployments[%d]", at)
	from := fmt.Sprintf("services[%d].", i)
	d := base(s.Name, s.Group, configuration.KindService)
	d.Policy = because(g, path+".policy", "two_choices", from+"name", "a plain service keeps nothing that a caller would be sent back for")
	d.Slots = because(g, path+".slots", s.AtOnce, from+"at_once", "more would only wait there")
	d.TimeoutMS = because(g, path+".timeout_ms", int64(s.LongestSeconds)*1000, from+"longest_seconds", "nobody waits longer")
	d.EchoesAttempt = because(g, path+".echoes_attempt", s.EchoesAttempt, from+"echoes_attempt",
		"without the echo each connection carries one request, so that answers can't be mixed up")
	d.MaxAnswerBytes = because(g, path+".max_answer_bytes", s.LargestAnswerKB<<10, from+"largest_answer_kb", "a larger answer is not its own")
	attempts := 3
	if s.RepeatHarms {
		attempts = 2
	}
	d.Attempts = because(g, path+".attempts", attempts, from+"repeat_harms",
		"a request that may not be repeated is tried again only while no byte of it can have left")
	return d
}

// enginesPerShard is how many engines one holder orders.
const enginesPerShard = 160

// secondAttempts by what matters more.
const (
	secondAttemptsIdle  = 0.15
	secondAttemptsStale = 0.08
)

func (g *generator) model(at, i int, m Model) configuration.Deployment {
	path := fmt.Sprintf("deployments[%d]", at)
	from := fmt.Sprintf("models[%d].", i)
	d := base(m.Name, m.Group, configuration.KindModel)
	policy := "two_choices"
	if m.SharedPrompts {
		policy = "prefix_affinity"
	}
	d.Policy = because(g, path+".policy", policy, from+"shared_prompts", "prompts that begin alike go where their beginning is cached")
	d.Slots = because(g, path+".slots", m.AtOnce, from+"at_once", "more would only wait there")
	d.TimeoutMS = because(g, path+".timeout_ms", int64(m.LongestSecs)*1000, from+"longest_seconds", "a longer stream is given up")
	d.ChecksFencing = because(g, path+".checks_fencing", m.ChecksOrders, from+"checks_orders", "engines that don't check are read back and set right")
	d.Shards = because(g, path+".shards", max(1, (m.Engines+enginesPerShard-1)/enginesPerShard), from+"engines",
		fmt.Sprintf("one holder orders about %d engines", enginesPerShard))
	d.FetchesAtOnce = because(g, path+".fetches_at_once", max(m.FetchesAtOnce, d.Shards), from+"fetches_at_once", "the weight store is rate-limited")
	d.Staleness.MaxVersions = because(g, path+".staleness.max_versions", m.OldestVersions, from+"oldest_versions", "no sample is handed over beyond it")
	d.Staleness.MaxAgeMS = because(g, path+".staleness.max_age_ms", m.OldestSeconds*1000, from+"oldest_seconds", "no sample is handed over beyond it")
	g.rounds(&d, path+".rounds", from, m)
	return d
}

func (g *generator) rounds(d *configuration.Deployment, path, from string, m Model) {
	weighting, second := configuration.WeightIdleTime, secondAttemptsIdle
	if m.MattersMore == "staleness" {
		weighting, second = configuration.WeightStaleness, secondAttemptsStale
	}
	d.Rounds.Weighting = because(g, path+".weighting", weighting, from+"matters_more", "engines with the newest weights are preferred only where staleness goes first")
	d.Rounds.SecondAttempts = because(g, path+".second_attempts", second, from+"matters_more", "second attempts shorten the wait for the last samples at some cost")
	d.Rounds.DropAfterMS = because(g, path+".drop_after_ms", m.LateAfterSeconds*1000, from+"late_after_seconds", "a step that falls behind is dropped, not forced")
	d.Rounds.AtOnce = because(g, path+".at_once", max(16, 2*m.SamplesPerStep), from+"samples_per_step", "two steps may run side by side")
}

func (g *generator) trainer(at, i, j int, t Trainer) configuration.Trainer {
	return configuration.Trainer{
		Name: t.Name,
		Weight: because(g, fmt.Sprintf("trainers[%d].weight", at), t.Share, fmt.Sprintf("models[%d].trainers[%d].share", i, j),
			"trainers share engines by weight when capacity is short"),
	}
}

// priority returns the priority that follows from who waits.
func (g *generator) priority(path, whoWaits string) string {
	priority := "interactive"
	switch whoWaits {
	case "a_trainer":
		priority = "training"
	case "nobody":
		priority = "background"
	}
	return because(g, path+".priority", priority, path+".who_waits",
		"what a person waits for goes first; what nobody waits for gives way")
}

func (g *generator) organisation(i int, o Organisation) configuration.Organisation {
	path := fmt.Sprintf("organisations[%d]", i)
	return configuration.Organisation{
		Name: o.Name,
		KeyDigests: because(g, path+".key_digests", o.KeyDigests, path+".key_digests",
			"a configuration holds no keys, only what tells them"),
		Priority: g.priority(path, o.WhoWaits),
	}
}

func (g *generator) caller(i int, c Caller) configuration.Caller {
	return configuration.Caller{
		Name:     c.Name,
		Priority: g.priority(fmt.Sprintf("callers[%d]", i), c.WhoWaits),
		Weight: because(g, fmt.Sprintf("callers[%d].weight", i), c.Share, fmt.Sprintf("callers[%d].share", i),
			"callers share by weight when capacity is short"),
	}
}

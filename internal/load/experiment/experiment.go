package experiment

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/entry/client"
	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/load/addresses"
	"github.com/egretbend/egretbend/internal/load/loadgen"
	"github.com/egretbend/egretbend/internal/load/localfleet"
	"github.com/egretbend/egretbend/internal/load/scenario"
	"github.com/egretbend/egretbend/internal/standin/engine"
	"github.com/egretbend/egretbend/internal/standin/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/service"
	"github.com/egretbend/egretbend/internal/standin/trainer"
)

// Runner holds a scenario and what is needed to run it.
type Runner struct {
	Scenario scenario.Scenario
	// Configuration is the service configuration before the scenario's and the
	// variant's overrides.
	Configuration configuration.Configuration
	// BinaryDir is the directory with the built programs.
	BinaryDir string
	// WorkDir is the directory for settings files and logs. Each run replaces the
	// contents of the subdirectory for its scenario and variant.
	WorkDir string
	Timer   timer.Service
}

// Run runs one variant of the scenario and stops every process it started.
func (r *Runner) Run(ctx context.Context, v scenario.Variant) (*Report, error) {
	f := &localfleet.Fleet{
		BinaryDir:     r.BinaryDir,
		WorkDir:       filepath.Join(r.WorkDir, r.Scenario.Name, v.Name),
		Scenario:      r.Scenario,
		Configuration: scenario.ApplyOverrides(scenario.ApplyOverrides(r.Configuration, r.Scenario.Overrides), v.Overrides),
		Timer:         r.Timer,
	}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	report := &Report{
		Scenario: r.Scenario.Name,
		Variant:  v.Name,
		Seconds:  r.Scenario.Seconds,
	}
	before := readStats[keyvalue.Stats](f.Find("keyvalue"))
	metrics, started := readAllMetrics(f), r.Timer.Now()
	r.runLoad(ctx, f, v, report)
	report.ResourceUsage = computeUsage(metrics, readAllMetrics(f), r.Timer.Now().Sub(started).Seconds())
	report.addKeyValue(before, readStats[keyvalue.Stats](f.Find("keyvalue")))
	r.addEngines(f, report)
	for _, err := range f.Drain() {
		report.UncleanStops = append(report.UncleanStops, err.Error())
	}
	return report, nil
}

// runLoad runs callers, trainers and events for the duration of the scenario
// and adds their results to report.
func (r *Runner) runLoad(ctx context.Context, f *localfleet.Fleet, v scenario.Variant, report *Report) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Scenario.Seconds)*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { f.RunEvents(ctx) })
	// A scenario without load still runs for its full duration, to measure an
	// idle fleet.
	wg.Go(func() { <-ctx.Done() })
	tracker := &swapTracker{
		timer: r.Timer,
	}
	if len(r.Scenario.Trainers) > 0 {
		wg.Go(func() { tracker.pollUntilDone(ctx, f) })
	}
	var mu sync.Mutex
	generators := make([]*loadgen.Generator, len(r.Scenario.Orders))
	results := make([]loadgen.Result, len(r.Scenario.Orders))
	for i, s := range r.Scenario.Orders {
		generators[i] = &loadgen.Generator{
			Settings:  s,
			Addresses: r.newAddressCache(f, s.Caller, s.FailureDomain),
			Timer:     r.Timer,
			Services:  serviceAddresses(f),
		}
		wg.Go(func() { results[i] = generators[i].Run(ctx) })
	}
	for _, s := range r.Scenario.Trainers {
		t := r.newTrainer(f, s, v)
		t.OnPublish = tracker.recordPublished
		wg.Go(func() {
			result := t.Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			report.addTrainer(result)
		})
	}
	wg.Wait()
	report.SwapP50, report.SwapMax = tracker.medianAndLongest()
	runs := r.countRuns(f)
	for i, g := range generators {
		report.addOrders(results[i], g.CompareRuns(runs))
	}
}

// newTrainer returns a trainer that checks samples against the staleness bound
// of its deployment.
func (r *Runner) newTrainer(f *localfleet.Fleet, s trainer.Settings, v scenario.Variant) *trainer.Trainer {
	if v.RunAhead != nil {
		s.RunAhead = int(*v.RunAhead)
	}
	bound := uint64(0)
	if d, ok := f.Configuration.Deployment(s.Deployment); ok {
		bound = d.Staleness.MaxVersions
	}
	return &trainer.Trainer{
		Settings:     s,
		Addresses:    r.newAddressCache(f, s.Name, ""),
		Timer:        r.Timer,
		MaxStaleness: bound,
	}
}

func (r *Runner) newAddressCache(f *localfleet.Fleet, caller, domain string) *addresses.Cache {
	return &addresses.Cache{
		Caller:        caller,
		FailureDomain: domain,
		Seeds:         f.Addresses(),
		Timer:         r.Timer,
	}
}

// serviceAddresses returns the addresses of all plain services of the fleet.
func serviceAddresses(f *localfleet.Fleet) []string {
	var list []string
	for _, p := range f.Upstreams {
		if p.Kind == "service" {
			list = append(list, p.Address)
		}
	}
	return list
}

// countRuns returns how often each order ran, by order ID. It reads the logs of
// the services, so it includes the runs of processes that have ended.
func (r *Runner) countRuns(f *localfleet.Fleet) map[string]int {
	sum := make(map[string]int)
	for _, p := range f.Upstreams {
		data, err := os.ReadFile(p.LogPath())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if id, ok := strings.CutPrefix(strings.TrimSpace(line), service.RunLogPrefix); ok {
				sum[id]++
			}
		}
	}
	return sum
}

// addEngines adds the token and cache counters of all engines to report.
func (r *Runner) addEngines(f *localfleet.Fleet, report *Report) {
	var prefills, hits int64
	for _, p := range f.Upstreams {
		s := readStats[engine.Stats](p)
		report.TokensGenerated += s.Tokens
		prefills += s.Prefills
		hits += s.Hits
	}
	if prefills > 0 {
		report.CacheHitShare = float64(hits) / float64(prefills)
	}
}

// readStats returns the statistics of a stand-in, or the zero value if it can't
// be read.
func readStats[T any](p *localfleet.Process) T {
	var stats T
	_ = getJSON(p.Address, "/stats", &stats)
	return stats
}

// getJSON decodes the answer to a GET request into out.
func getJSON(address, path string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := (client.Client{
		Address: address,
	}).Do(ctx, http.MethodGet, path, nil, out); err != nil {
		return fmt.Errorf("%s%s: %w", address, path, err)
	}
	return nil
}

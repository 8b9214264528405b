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
	"github.com/egretbend/egretbend/internal/load/fleet"
	"github.com/egretbend/egretbend/internal/load/orders"
	"github.com/egretbend/egretbend/internal/load/scenario"
	"github.com/egretbend/egretbend/internal/standin/engine"
	"github.com/egretbend/egretbend/internal/standin/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/service"
	"github.com/egretbend/egretbend/internal/standin/trainer"
)

// Experiment runs a scenario.
type Experiment struct {
	Scenario      scenario.Scenario
	Configuration configuration.Configuration
	Binaries      string
	Folder        string
	Timer         timer.Service
}

// Run runs one variant and stops everything that it started.
func (x *Experiment) Run(ctx context.Context, v scenario.Variant) (*Report, error) {
	f := &fleet.Fleet{
		Binaries:      x.Binaries,
		Folder:        filepath.Join(x.Folder, x.Scenario.Name, v.Name),
		Scenario:      x.Scenario,
		Configuration: scenario.Apply(scenario.Apply(x.Configuration, x.Scenario.Change), v.Change),
		Timer:         x.Timer,
	}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	report := &Report{
		Scenario: x.Scenario.Name,
		Variant:  v.Name,
		Seconds:  x.Scenario.Seconds,
	}
	before := readStats[keyvalue.Stats](f.Find("keyvalue"))
	metrics, started := readAll(f), x.Timer.Now()
	x.load(ctx, f, v, report)
	report.Cost = costs(metrics, readAll(f), x.Timer.Now().Sub(started).Seconds())
	report.addKeyValue(before, readStats[keyvalue.Stats](f.Find("keyvalue")))
	x.addEngines(f, report)
	for _, err := range f.Drain() {
		report.UncleanStops = append(report.UncleanStops, err.Error())
	}
	return report, nil
}

// load runs callers, trainers and events for the time of the scenario.
func (x *Experiment) load(ctx context.Context, f *fleet.Fleet, v scenario.Variant, report *Report) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(x.Scenario.Seconds)*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { f.RunEvents(ctx) })
	// A run without load still lasts its time, to measure a quiet fleet.
	wg.Go(func() { <-ctx.Done() })
	w := &swaps{
		timer: x.Timer,
	}
	if len(x.Scenario.Trainers) > 0 {
		wg.Go(func() { w.watch(ctx, f) })
	}
	var mu sync.Mutex
	loads := make([]*orders.Load, len(x.Scenario.Orders))
	results := make([]orders.Result, len(x.Scenario.Orders))
	for i, s := range x.Scenario.Orders {
		loads[i] = &orders.Load{
			Settings:  s,
			Addresses: x.book(f, s.Caller, s.FailureDomain),
			Timer:     x.Timer,
			Services:  serviceAddresses(f),
		}
		wg.Go(func() { results[i] = loads[i].Run(ctx) })
	}
	for _, s := range x.Scenario.Trainers {
		t := x.trainer(f, s, v)
		t.OnPublish = w.published
		wg.Go(func() {
			r := t.Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			report.addTrainer(r)
		})
	}
	wg.Wait()
	report.SwapP50, report.SwapMax = w.report()
	runs := x.runs(f)
	for i, l := range loads {
		report.addOrders(results[i], l.Check(runs))
	}
}

func (x *Experiment) trainer(f *fleet.Fleet, s trainer.Settings, v scenario.Variant) *trainer.Trainer {
	if v.RunAhead != nil {
		s.RunAhead = int(*v.RunAhead)
	}
	bound := uint64(0)
	if d, ok := f.Configuration.Deployment(s.Deployment); ok {
		bound = d.Staleness.MaxVersions
	}
	return &trainer.Trainer{
		Settings:     s,
		Addresses:    x.book(f, s.Name, ""),
		Timer:        x.Timer,
		MaxStaleness: bound,
	}
}

func (x *Experiment) book(f *fleet.Fleet, caller, domain string) *addresses.Book {
	return &addresses.Book{
		Caller:        caller,
		FailureDomain: domain,
		Seeds:         f.Addresses(),
		Timer:         x.Timer,
	}
}

// serviceAddresses returns the addresses of the plain services.
func serviceAddresses(f *fleet.Fleet) []string {
	var list []string
	for _, p := range f.Upstreams {
		if p.Kind == "service" {
			list = append(list, p.Address)
		}
	}
	return list
}

// runs sums the runs that the services recorded, also those that are dead now.
func (x *Experiment) runs(f *fleet.Fleet) map[string]int {
	sum := make(map[string]int)
	for _, p := range f.Upstreams {
		data, err := os.ReadFile(p.Log())
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

// addEngines adds what the engines counted.
func (x *Experiment) addEngines(f *fleet.Fleet, report *Report) {
	var prefills, hits int64
	for _, p := range f.Upstreams {
		s := readStats[engine.Stats](p)
		report.TokensMade += s.Tokens
		prefills += s.Prefills
		hits += s.Hits
	}
	if prefills > 0 {
		report.CacheHitShare = float64(hits) / float64(prefills)
	}
}

func readStats[T any](p *fleet.Process) T {
	var stats T
	_ = get(p.Address, "/stats", &stats)
	return stats
}

func get(address, path string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := (client.Client{
		Address: address,
	}).Do(ctx, http.MethodGet, path, nil, out); err != nil {
		return fmt.Errorf("%s%s: %w", address, path, err)
	}
	return nil
}

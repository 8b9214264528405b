package experiment_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/load/experiment"
	"github.com/egretbend/egretbend/internal/load/loadgen"
	"github.com/egretbend/egretbend/internal/load/scenario"
	"github.com/egretbend/egretbend/internal/standin/engine"
	"github.com/egretbend/egretbend/internal/standin/service"
	"github.com/egretbend/egretbend/internal/standin/trainer"
)

// binaries is the directory with the programs, built once for all tests.
var binaries string

// fleetSlots limits how many fleets run at the same time.
var fleetSlots = make(chan struct{}, 3)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "egretbend")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "github.com/egretbend/egretbend/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// smallScenario returns a scenario of 6 instances in 3 failure domains with
// orders and a trainer as load.
func smallScenario(name string, events ...scenario.Event) scenario.Scenario {
	return scenario.Scenario{
		Name:           name,
		Seconds:        12,
		Region:         "be-flanders",
		FailureDomains: []string{"mechelen-a", "antwerpen-a", "gent-a"},
		Instances:      6,
		LogLevel:       "info",
		Weights: scenario.WeightStore{
			FetchesPerSecond: 50,
			FetchMS:          50,
		},
		Engines: []scenario.UpstreamGroup{{
			Count: 4,
			Engine: &engine.Settings{
				Group:         "sampler",
				Slots:         8,
				Queue:         8,
				TokenMS:       4,
				PrefillMS:     10,
				CacheEntries:  16,
				SwitchMS:      30,
				ChecksFencing: true,
			},
		}},
		Services: []scenario.UpstreamGroup{{
			Count: 4,
			Service: &service.Settings{
				Group:  "desk",
				Slots:  8,
				Queue:  8,
				WorkMS: 15,
			},
		}},
		Orders: []loadgen.Settings{
			orderStream("saddlers", false),
			orderStream("stock", true),
		},
		Trainers: []trainer.Settings{{
			Name:            "cutting",
			Deployment:      "cutting-plan",
			Groups:          4,
			SamplesPerGroup: 4,
			Tokens:          30,
			LengthSigma:     0.5,
			TrainMS:         150,
			RunAhead:        1,
			Seed:            1,
		}},
		Events: events,
	}
}

// orderStream returns a stream of requests to the order-desk service.
func orderStream(caller string, idempotent bool) loadgen.Settings {
	return loadgen.Settings{
		Caller:      caller,
		Deployment:  "order-desk",
		Kind:        "service",
		Priority:    "interactive",
		Idempotent:  idempotent,
		PerSecond:   25,
		BurstFactor: 1,
		DeadlineMS:  3000,
		Prompts:     1,
		MaxTokens:   1,
		Seed:        1,
	}
}

// testConfiguration returns the configuration of all fleets in these tests.
func testConfiguration(t *testing.T) configuration.Configuration {
	t.Helper()
	cfg, err := configuration.Parse([]byte(`{
		"format": 1,
		"team": "proof",
		"deployments": [
			{"name": "order-desk", "kind": "service", "group": "desk", "slots": 8, "timeout_ms": 3000, "echoes_attempt": true},
			{"name": "cutting-plan", "kind": "model", "group": "sampler", "policy": "prefix_affinity", "slots": 8, "timeout_ms": 6000,
			 "checks_fencing": true, "staleness": {"max_versions": 3}}
		],
		"addresses": {"count": 3, "keep_ms": 800}
	}`))
	if err != nil {
		t.Fatal(err)
	}
	return *cfg
}

// runScenario runs a scenario on real processes and fails the test if the report
// lists a violated guarantee or if trainer or callers made no progress.
func runScenario(t *testing.T, s scenario.Scenario) *experiment.Report {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	defer func() { <-fleetSlots }()
	is := is.New(t)
	runner := &experiment.Runner{
		Scenario:      s,
		Configuration: testConfiguration(t),
		BinaryDir:     binaries,
		WorkDir:       filepath.Join(t.TempDir(), "run"),
		Timer:         timer.Real{},
	}
	report, err := runner.Run(context.Background(), scenario.Variant{
		Name: "main",
	})
	is.NoErr(err)
	for _, o := range report.Orders {
		t.Logf("%+v", o)
	}
	for _, r := range report.Trainers {
		t.Logf("%+v", r)
	}
	is.Equal(report.Violations(), nil)     // no guarantee is violated
	is.True(report.StepsFinished > 0)      // the trainer finishes steps
	is.True(report.Answered > 0)           // callers get answers
	is.True(report.SamplesDelivered > 0)   // samples reach the trainer
	is.Equal(report.SamplesDuplicated, 0)  // each sample is delivered once
	is.Equal(report.OrdersRunTwice, 0)     // no order runs twice
	is.True(report.AnsweredNotRun == 0)    // no answer without a run
	is.True(len(report.UncleanStops) == 0) // instances that no event stopped exit cleanly
	return report
}

// eventAt returns an event that happens ms milliseconds after the start.
func eventAt(ms int64, target, action string) scenario.Event {
	return scenario.Event{
		AtMS:   ms,
		Target: target,
		Action: action,
	}
}

// faultEvent returns an event that sets faults of a stand-in.
func faultEvent(ms int64, target string, values map[string]scenario.FaultValue) scenario.Event {
	e := eventAt(ms, target, "fault")
	e.Fault = values
	return e
}

// Guards against samples delivered twice or never, and orders that run twice,
// when instances crash. All instances are killed one after the other, including
// the one that serves the trainer's session, and restart without state.
func TestKilledInstances(t *testing.T) {
	var events []scenario.Event
	for i, name := range []string{"mechelen-a-1", "antwerpen-a-1", "gent-a-1", "mechelen-a-2", "antwerpen-a-2", "gent-a-2"} {
		ms := int64(1500 + 1500*i)
		events = append(events, eventAt(ms, name, "kill"), eventAt(ms+700, name, "restart"))
	}
	report := runScenario(t, smallScenario("killed", events...))
	is.New(t).True(report.Trainers[0].Sessions > 1) // the trainer opened a session on another instance
}

// Guards against two instances that serve one trainer or direct the same engines.
// Instances are paused for longer than a lease lasts and resumed after others
// have taken over.
func TestFrozenInstances(t *testing.T) {
	runScenario(t, smallScenario("frozen",
		eventAt(2000, "mechelen-a-*", "freeze"),
		eventAt(9500, "mechelen-a-*", "thaw"),
		eventAt(10000, "gent-a-1", "freeze"),
		eventAt(11500, "gent-a-1", "thaw"),
	))
}

// Guards against samples that become ever older and requests that are cut off
// while the key-value service is down. The outage begins one second into the run and
// lasts longer than any lease, and an instance restarts during it. Requests,
// samples and weight versions must continue.
func TestKeyValueServiceDown(t *testing.T) {
	s := smallScenario("outage",
		faultEvent(1000, "keyvalue", map[string]scenario.FaultValue{"down": 1}),
		eventAt(4000, "gent-a-1", "stop"),
		eventAt(12000, "gent-a-1", "restart"),
	)
	s.Seconds = 26
	report := runScenario(t, s)
	is := is.New(t)
	is.True(report.Trainers[0].Versions > 3) // new weights come through
	is.Equal(report.Unknown, 0)
}

// As TestKeyValueServiceDown, but the instance is killed with requests in flight
// instead of stopped.
func TestInstanceKilledInOutage(t *testing.T) {
	s := smallScenario("killed_in_outage",
		faultEvent(1000, "keyvalue", map[string]scenario.FaultValue{"down": 1}),
		eventAt(4000, "gent-a-1", "kill"),
		eventAt(5000, "gent-a-1", "restart"),
	)
	s.Seconds = 20
	report := runScenario(t, s)
	is.New(t).True(report.Trainers[0].Versions > 3) // new weights come through
}

// Guards against leases and configuration that rely on a correct key-value
// service: it is slow, returns older revisions and loses the answers of writes.
func TestKeyValueServiceSlowAndStale(t *testing.T) {
	runScenario(t, smallScenario("stale",
		faultEvent(1000, "keyvalue", map[string]scenario.FaultValue{"slow_ms": 700, "stale": 1}),
		faultEvent(6000, "keyvalue", map[string]scenario.FaultValue{"lose_answers": 3}),
		eventAt(6500, "antwerpen-a-1", "kill"),
		eventAt(7500, "antwerpen-a-1", "restart"),
	))
}

// Guards against samples whose recorded weight versions differ from those that
// generated the text. Engines break off streams, report the ID of another attempt,
// crash and restart with old weights, and report errors for version switches that
// may have taken effect.
func TestBrokenEngines(t *testing.T) {
	events := []scenario.Event{
		faultEvent(1000, "sampler-1", map[string]scenario.FaultValue{"break_share": 0.3}),
		faultEvent(1000, "sampler-2", map[string]scenario.FaultValue{"cross_share": 0.3}),
		faultEvent(1000, "sampler-3", map[string]scenario.FaultValue{"switch_fails": 1}),
	}
	crash := faultEvent(2000, "sampler-4", map[string]scenario.FaultValue{"crash_ms": 500})
	crash.EveryMS = 2500
	runScenario(t, smallScenario("engines", append(events, crash)...))
}

// Guards against a former lease holder that directs engines which don't check
// fencing numbers: the holder is paused, and resumed after new versions were
// published.
func TestEnginesThatIgnoreFencing(t *testing.T) {
	s := smallScenario("unfenced",
		eventAt(2000, "mechelen-a-1", "freeze"),
		eventAt(3000, "antwerpen-a-1", "freeze"),
		eventAt(10000, "mechelen-a-1", "thaw"),
		eventAt(10100, "antwerpen-a-1", "thaw"),
	)
	s.Engines[0].Engine.ChecksFencing = false
	runScenario(t, s)
}

// Guards against a "not run" outcome for an order that ran, since the caller
// would send it again. Services run an order and then reset the connection, cut
// the answer short, answer for another order, or return a 503 without an outcome.
func TestBrokenServices(t *testing.T) {
	report := runScenario(t, smallScenario("services",
		faultEvent(1000, "desk-1", map[string]scenario.FaultValue{"reset_share": 0.3, "refuse_share": 0.1}),
		faultEvent(1000, "desk-2", map[string]scenario.FaultValue{"cut_share": 0.3}),
		faultEvent(1000, "desk-3", map[string]scenario.FaultValue{"cross_share": 0.3}),
		faultEvent(1000, "desk-4", map[string]scenario.FaultValue{"bare_share": 0.3}),
	))
	is.New(t).True(report.Unknown > 0) // orders that may have run are reported as unknown
}

// Guards against violated guarantees when a failure domain is lost: its
// instances, its engine and its service are killed at the same moment.
func TestFailureDomainGone(t *testing.T) {
	runScenario(t, smallScenario("domain",
		eventAt(3000, "gent-a-*", "kill"),
		eventAt(3000, "sampler-3", "kill"),
		eventAt(3000, "desk-3", "kill"),
	))
}

// Guards against requests and streams that a graceful shutdown cuts off:
// instances are stopped while callers still have their addresses and requests
// are in flight.
func TestGracefulShutdownUnderLoad(t *testing.T) {
	s := smallScenario("drain",
		eventAt(2000, "gent-a-1", "stop"),
		eventAt(4000, "mechelen-a-2", "stop"),
		eventAt(6000, "antwerpen-a-1", "stop"),
	)
	s.Orders[0].PerSecond = 60
	s.Orders = append(s.Orders, loadgen.Settings{
		Caller:      "sketches",
		Deployment:  "cutting-plan",
		Kind:        "model",
		Priority:    "interactive",
		PerSecond:   4,
		BurstFactor: 1,
		DeadlineMS:  6000,
		MaxTokens:   300,
		Prompts:     4,
		Seed:        9,
	})
	report := runScenario(t, s)
	is := is.New(t)
	is.Equal(report.Unknown, 0)  // no request was cut off
	is.Equal(report.NoAnswer, 0) // every request got an answer
}

// Guards against requests to upstreams that announced their shutdown while the
// instance list is down.
func TestLeavingUpstream(t *testing.T) {
	s := smallScenario("leaving",
		faultEvent(1500, "roster", map[string]scenario.FaultValue{"down": 1}),
		eventAt(2000, "desk-1", "leave"),
		eventAt(2000, "sampler-1", "leave"),
		eventAt(8000, "desk-1", "kill"),
		eventAt(8000, "sampler-1", "kill"),
	)
	report := runScenario(t, s)
	// Both are killed six seconds after the announcement. Requests still sent to
	// them would end with an unknown outcome.
	is.New(t).Equal(report.Unknown, 0)
}

package localfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/egretbend/egretbend/internal/entry/client"
	"github.com/egretbend/egretbend/internal/entry/operator"
	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/kernel/setting"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/load/port"
	"github.com/egretbend/egretbend/internal/load/scenario"
)

// Time limits for starting and stopping processes.
const (
	readyTimeout      = 60 * time.Second
	readyPollInterval = 100 * time.Millisecond
	stopTimeout       = 90 * time.Second
)

// Fleet holds the processes of one experiment.
type Fleet struct {
	// BinaryDir is the directory with the programs.
	BinaryDir string
	// WorkDir is the directory for settings files and logs; Start deletes its
	// contents.
	WorkDir       string
	Scenario      scenario.Scenario
	Configuration configuration.Configuration
	Timer         timer.Service

	Instances        []*Process
	Upstreams        []*Process
	platformServices []*Process
	byName           map[string]*Process
	peerAddresses    map[string]string
	// nextMatch counts the uses of each event target that ends with "any", to
	// select its matching processes in turn.
	nextMatch map[string]int
	// terminated marks the processes that an event or Kill has stopped. Drain
	// ignores their exit errors.
	terminated map[string]bool
	ports      port.Block
}

// Start starts all processes, submits the configuration and waits until every
// instance is ready. Call Stop also if it returns an error.
func (f *Fleet) Start(ctx context.Context) error {
	// Process logs are appended to, and runs are counted from them, so logs of an
	// earlier run must not remain.
	if err := os.RemoveAll(f.WorkDir); err != nil {
		return err
	}
	if err := os.MkdirAll(f.WorkDir, 0o755); err != nil {
		return err
	}
	f.byName = make(map[string]*Process)
	f.peerAddresses = make(map[string]string)
	f.terminated = make(map[string]bool)
	for _, start := range []func() error{f.startPlatformServices, f.startUpstreams, f.startInstances} {
		if err := start(); err != nil {
			return err
		}
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

// launch registers a process under name and starts it.
func (f *Fleet) launch(name, program, address string, args ...string) (*Process, error) {
	p := &Process{
		Name:    name,
		Address: address,
		path:    filepath.Join(f.BinaryDir, program),
		args:    args,
		logPath: filepath.Join(f.WorkDir, name+".log"),
	}
	f.byName[name] = p
	return p, p.start()
}

// startPlatformServices starts the stand-ins of the key-value service, the
// instance list (roster) and the weight store.
func (f *Fleet) startPlatformServices() error {
	w := f.Scenario.Weights
	for _, service := range []struct {
		name string
		args []string
	}{
		{
			name: "keyvalue",
		},
		{
			name: "roster",
		},
		{
			name: "weights",
			args: []string{
				"--per-second", fmt.Sprint(w.FetchesPerSecond),
				"--took", (time.Duration(w.FetchMS) * time.Millisecond).String(),
			},
		},
	} {
		address, err := f.ports.Next()
		if err != nil {
			return err
		}
		args := append([]string{service.name, "--listen", address}, service.args...)
		p, err := f.launch(service.name, "standin", address, args...)
		if err != nil {
			return err
		}
		f.platformServices = append(f.platformServices, p)
	}
	return nil
}

// upstreamSettings is the content of the settings file of an upstream stand-in.
type upstreamSettings struct {
	Listen  string `json:"listen"`
	Roster  string `json:"roster"`
	Details any    `json:"details"`
}

// startUpstreams starts the engines and services of the scenario, spread over the
// failure domains in turn.
func (f *Fleet) startUpstreams() error {
	for _, group := range f.Scenario.Engines {
		for i := range group.Count {
			details := *group.Engine
			details.ID = fmt.Sprintf("%s-%d", details.Group, i+1)
			details.FailureDomain = f.failureDomain(i)
			details.Weights = f.byName["weights"].Address
			if err := f.startUpstream("engine", details.ID, details); err != nil {
				return err
			}
		}
	}
	for _, group := range f.Scenario.Services {
		for i := range group.Count {
			details := *group.Service
			details.ID = fmt.Sprintf("%s-%d", details.Group, i+1)
			details.FailureDomain = f.failureDomain(i)
			if err := f.startUpstream("service", details.ID, details); err != nil {
				return err
			}
		}
	}
	return nil
}

// failureDomain returns the failure domain of the i-th process of a kind.
func (f *Fleet) failureDomain(i int) string {
	return f.Scenario.FailureDomains[i%len(f.Scenario.FailureDomains)]
}

func (f *Fleet) startUpstream(kind, name string, details any) error {
	address, err := f.ports.Next()
	if err != nil {
		return err
	}
	path, err := f.writeSettings(name, upstreamSettings{
		Listen:  address,
		Roster:  f.byName["roster"].Address,
		Details: details,
	})
	if err != nil {
		return err
	}
	p, err := f.launch(name, "standin", address, kind, "--settings", path)
	p.Kind = kind
	f.Upstreams = append(f.Upstreams, p)
	return err
}

// seedPeerCount is how many peer addresses each instance has in its settings.
const seedPeerCount = 3

// startInstances starts the instances, named after their failure domain and a
// number that counts from 1 in each domain.
func (f *Fleet) startInstances() error {
	n := f.Scenario.Instances
	listen := make([]string, n)
	peers := make([]string, n)
	for i := range n {
		var err error
		if listen[i], err = f.ports.Next(); err != nil {
			return err
		}
		if peers[i], err = f.ports.Next(); err != nil {
			return err
		}
	}
	for i := range n {
		name := fmt.Sprintf("%s-%d", f.failureDomain(i), i/len(f.Scenario.FailureDomains)+1)
		path, err := f.writeSettings(name, setting.Instance{
			Name:          name,
			Region:        f.Scenario.Region,
			FailureDomain: f.failureDomain(i),
			Listen:        listen[i],
			PeerListen:    peers[i],
			Peers:         peers[:min(seedPeerCount, n)],
			KeyValue: setting.Adapter{
				Adapter: "http",
				Address: f.byName["keyvalue"].Address,
			},
			Roster: setting.Adapter{
				Adapter: "http",
				Address: f.byName["roster"].Address,
			},
			LogLevel: f.Scenario.LogLevel,
			Seed:     uint64(i + 1),
		})
		if err != nil {
			return err
		}
		p, err := f.launch(name, "egretbend", listen[i], "serve", "--settings", path)
		if err != nil {
			return err
		}
		f.peerAddresses[name] = peers[i]
		f.Instances = append(f.Instances, p)
	}
	return nil
}

// writeSettings writes v as JSON to a file in WorkDir and returns its path.
func (f *Fleet) writeSettings(name string, v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.WorkDir, name+".json")
	return path, os.WriteFile(path, data, 0o644)
}

// configure submits the configuration to the first instance, and retries until it
// is accepted or readyTimeout has passed.
func (f *Fleet) configure(ctx context.Context) error {
	data, err := json.Marshal(f.Configuration)
	if err != nil {
		return err
	}
	var lastErr error
	end := f.Timer.Now().Add(readyTimeout)
	for f.Timer.Now() < end && ctx.Err() == nil {
		lastErr = client.Client{
			Address: f.Instances[0].Address,
		}.Do(ctx, http.MethodPut, "/v1/configuration", operator.ChangeRequest{
			ID:            "first",
			Operator:      "load",
			Configuration: data,
		}, nil)
		if lastErr == nil {
			return nil
		}
		timer.Wait(f.Timer, readyPollInterval, ctx.Done())
	}
	return fmt.Errorf("the configuration was not accepted: %w", lastErr)
}

// waitReady waits until every instance is ready, for at most readyTimeout in all.
func (f *Fleet) waitReady(ctx context.Context) error {
	end := f.Timer.Now().Add(readyTimeout)
	for _, p := range f.Instances {
		for !f.ready(p) {
			if f.Timer.Now() >= end || !timer.Wait(f.Timer, readyPollInterval, ctx.Done()) {
				return fmt.Errorf("instance %s is not ready; end of its log in %s:\n%s", p.Name, f.WorkDir, p.logTail())
			}
		}
	}
	return nil
}

// ready reports whether an instance has a configuration in force and lists at
// least as many upstreams as the fleet has.
func (f *Fleet) ready(p *Process) bool {
	var status operator.Status
	err := client.Client{
		Address: p.Address,
	}.Do(context.Background(), http.MethodGet, "/v1/status", nil, &status)
	return err == nil && status.Revision > 0 && len(status.Upstreams) >= len(f.Upstreams)
}

// Addresses returns the addresses of all instances, including those that have ended.
func (f *Fleet) Addresses() []string {
	list := make([]string, 0, len(f.Instances))
	for _, p := range f.Instances {
		list = append(list, p.Address)
	}
	return list
}

// Find returns the process with the given name, or nil.
func (f *Fleet) Find(name string) *Process { return f.byName[name] }

// Drain stops the instances gracefully and returns the errors of those that did
// not exit cleanly within stopTimeout. It resumes paused instances first, and
// ignores errors of instances that an event or Kill has stopped.
func (f *Fleet) Drain() []error {
	for _, p := range f.Instances {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
	}
	var errs []error
	for _, p := range f.Instances {
		if err := p.wait(f.Timer, stopTimeout); err != nil && !f.terminated[p.Name] {
			errs = append(errs, err)
		}
	}
	return errs
}

// Kill ends a process with SIGKILL, as a crash would, and waits until it has
// ended.
func (f *Fleet) Kill(p *Process) {
	f.terminated[p.Name] = true
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Restart starts an ended process again, with the same arguments.
func (f *Fleet) Restart(p *Process) error { return p.start() }

// Stop kills all processes that still run and releases the ports.
func (f *Fleet) Stop() {
	for _, list := range [][]*Process{f.Instances, f.Upstreams, f.platformServices} {
		for _, p := range list {
			if p.Alive() {
				p.Signal(syscall.SIGKILL)
				<-p.done
			}
		}
	}
	f.ports.Release()
}

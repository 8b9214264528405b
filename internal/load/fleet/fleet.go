package fleet

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

// Times of starting and stopping.
const (
	readyTime   = 60 * time.Second
	readyPeriod = 100 * time.Millisecond
	stopTime    = 90 * time.Second
)

// Fleet is the processes of one experiment.
type Fleet struct {
	// Binaries is the folder with the programs, Folder one for settings and logs.
	Binaries      string
	Folder        string
	Scenario      scenario.Scenario
	Configuration configuration.Configuration
	Timer         timer.Service

	Instances []*Process
	Upstreams []*Process
	platform  []*Process
	byName    map[string]*Process
	peers     map[string]string
	turns     map[string]int
	crashed   map[string]bool
	ports     port.Block
}

// Start starts all processes, puts the configuration in force and waits until
// every instance is ready.
func (f *Fleet) Start(ctx context.Context) error {
	// Logs of an earlier run would be read as this one's.
	if err := os.RemoveAll(f.Folder); err != nil {
		return err
	}
	if err := os.MkdirAll(f.Folder, 0o755); err != nil {
		return err
	}
	f.byName = make(map[string]*Process)
	f.peers = make(map[string]string)
	f.crashed = make(map[string]bool)
	for _, start := range []func() error{f.startPlatform, f.startUpstreams, f.startInstances} {
		if err := start(); err != nil {
			return err
		}
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

func (f *Fleet) launch(name, program, address string, args ...string) (*Process, error) {
	p := &Process{
		Name:    name,
		Address: address,
		path:    filepath.Join(f.Binaries, program),
		args:    args,
		log:     filepath.Join(f.Folder, name+".log"),
	}
	f.byName[name] = p
	return p, p.start()
}

func (f *Fleet) startPlatform() error {
	w := f.Scenario.Weights
	for _, one := range []struct {
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
				"--per-second", fmt.Sprint(w.PerSecond),
				"--took", (time.Duration(w.TookMS) * time.Millisecond).String(),
			},
		},
	} {
		address, err := f.ports.Free()
		if err != nil {
			return err
		}
		args := append([]string{one.name, "--listen", address}, one.args...)
		p, err := f.launch(one.name, "standin", address, args...)
		if err != nil {
			return err
		}
		f.platform = append(f.platform, p)
	}
	return nil
}

// upstreamFile is the settings file of an upstream stand-in.
type upstreamFile struct {
	Listen  string `json:"listen"`
	Roster  string `json:"roster"`
	Details any    `json:"details"`
}

func (f *Fleet) startUpstreams() error {
	for _, group := range f.Scenario.Engines {
		for i := range group.Count {
			details := *group.Engine
			details.ID = fmt.Sprintf("%s-%d", details.Group, i+1)
			details.FailureDomain = f.domain(i)
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
			details.FailureDomain = f.domain(i)
			if err := f.startUpstream("service", details.ID, details); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) domain(i int) string {
	return f.Scenario.FailureDomains[i%len(f.Scenario.FailureDomains)]
}

func (f *Fleet) startUpstream(kind, name string, details any) error {
	address, err := f.ports.Free()
	if err != nil {
		return err
	}
	path, err := f.write(name, upstreamFile{
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

// seedPeers is how many peers each instance is told of.
const seedPeers = 3

func (f *Fleet) startInstances() error {
	n := f.Scenario.Instances
	listen := make([]string, n)
	peers := make([]string, n)
	for i := range n {
		var err error
		if listen[i], err = f.ports.Free(); err != nil {
			return err
		}
		if peers[i], err = f.ports.Free(); err != nil {
			return err
		}
	}
	for i := range n {
		name := fmt.Sprintf("%s-%d", f.domain(i), i/len(f.Scenario.FailureDomains)+1)
		path, err := f.write(name, setting.Instance{
			Name:          name,
			Region:        f.Scenario.Region,
			FailureDomain: f.domain(i),
			Listen:        listen[i],
			PeerListen:    peers[i],
			Peers:         peers[:min(seedPeers, n)],
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
		f.peers[name] = peers[i]
		f.Instances = append(f.Instances, p)
	}
	return nil
}

func (f *Fleet) write(name string, v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.Folder, name+".json")
	return path, os.WriteFile(path, data, 0o644)
}

// configure puts the configuration in force through one instance.
func (f *Fleet) configure(ctx context.Context) error {
	data, err := json.Marshal(f.Configuration)
	if err != nil {
		return err
	}
	var last error
	end := f.Timer.Now().Add(readyTime)
	for f.Timer.Now() < end && ctx.Err() == nil {
		last = client.Client{
			Address: f.Instances[0].Address,
		}.Do(ctx, http.MethodPut, "/v1/configuration", operator.ChangeRequest{
			ID:            "first",
			Operator:      "load",
			Configuration: data,
		}, nil)
		if last == nil {
			return nil
		}
		timer.Wait(f.Timer, readyPeriod, ctx.Done())
	}
	return fmt.Errorf("the configuration was not accepted: %w", last)
}

func (f *Fleet) waitReady(ctx context.Context) error {
	end := f.Timer.Now().Add(readyTime)
	for _, p := range f.Instances {
		for !f.ready(p) {
			if f.Timer.Now() >= end || !timer.Wait(f.Timer, readyPeriod, ctx.Done()) {
				return fmt.Errorf("%s is not ready; its log in %s ends:\n%s", p.Name, f.Folder, p.tail())
			}
		}
	}
	return nil
}

// ready reports whether an instance has the configuration and sees upstreams
// of every deployment.
func (f *Fleet) ready(p *Process) bool {
	var status operator.Status
	err := client.Client{
		Address: p.Address,
	}.Do(context.Background(), http.MethodGet, "/v1/status", nil, &status)
	return err == nil && status.Revision > 0 && len(status.Upstreams) >= len(f.Upstreams)
}

// Addresses returns the addresses of all instances.
func (f *Fleet) Addresses() []string {
	list := make([]string, 0, len(f.Instances))
	for _, p := range f.Instances {
		list = append(list, p.Address)
	}
	return list
}

// Find returns the process called name.
func (f *Fleet) Find(name string) *Process { return f.byName[name] }

// Drain stops the instances gracefully and returns what went wrong. Those that
// an event killed are not expected to end well.
func (f *Fleet) Drain() []error {
	for _, p := range f.Instances {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
	}
	var errs []error
	for _, p := range f.Instances {
		if err := p.wait(f.Timer, stopTime); err != nil && !f.crashed[p.Name] {
			errs = append(errs, err)
		}
	}
	return errs
}

// Kill ends a process at once, as a crash would, and waits until it is gone.
func (f *Fleet) Kill(p *Process) {
	f.crashed[p.Name] = true
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Restart starts a process again that has ended.
func (f *Fleet) Restart(p *Process) error { return p.start() }

// Stop ends all processes that still run.
func (f *Fleet) Stop() {
	for _, list := range [][]*Process{f.Instances, f.Upstreams, f.platform} {
		for _, p := range list {
			if p.Alive() {
				p.Signal(syscall.SIGKILL)
				<-p.done
			}
		}
	}
	f.ports.Release()
}

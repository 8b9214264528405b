package experiment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/entry/client"
	"github.com/egretbend/egretbend/internal/entry/operator"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/load/localfleet"
	faults "github.com/egretbend/egretbend/internal/standin/fault"
)

// waitTimeout is the longest time that a test waits for a condition. It is far
// above the guaranteed times, so that tests also pass on a slow machine.
const waitTimeout = 60 * time.Second

// eventually polls until ok returns true, and fails the test after waitTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	clock := timer.Real{}
	end := clock.Now().Add(waitTimeout)
	for !ok() {
		if clock.Now() >= end {
			t.Fatalf("timed out waiting for: %s", what)
		}
		timer.Wait(clock, 50*time.Millisecond, nil)
	}
}

// startFleet starts a fleet without load and stops it at the end of the test. It
// marks the test as parallel and waits for one of fleetSlots.
func startFleet(t *testing.T, name string) *localfleet.Fleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	f := &localfleet.Fleet{
		BinaryDir:     binaries,
		WorkDir:       filepath.Join(t.TempDir(), name),
		Scenario:      smallScenario(name),
		Configuration: testConfiguration(t),
		Timer:         timer.Real{},
	}
	t.Cleanup(func() {
		f.Stop()
		<-fleetSlots
	})
	if err := f.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return f
}

// configurationRevision returns the revision that p has in force, or 0 if p does
// not answer.
func configurationRevision(p *localfleet.Process) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var c operator.Configuration
	_ = client.Client{
		Address: p.Address,
	}.Do(ctx, http.MethodGet, "/v1/configuration", nil, &c)
	return c.Revision
}

// putConfiguration submits the configuration of f to p as a change of revision
// from, and returns the new revision.
func putConfiguration(f *localfleet.Fleet, p *localfleet.Process, id string, from uint64) (uint64, error) {
	data, err := json.Marshal(f.Configuration)
	if err != nil {
		return 0, err
	}
	var c operator.Configuration
	err = client.Client{
		Address: p.Address,
	}.Do(context.Background(), http.MethodPut, "/v1/configuration", operator.ChangeRequest{
		ID:            id,
		Revision:      from,
		Operator:      "an",
		Configuration: data,
	}, &c)
	return c.Revision, err
}

// setFault replaces the faults of a stand-in by those in the JSON body.
func setFault(t *testing.T, p *localfleet.Process, body string) {
	t.Helper()
	res, err := http.Post("http://"+p.Address+faults.Path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
}

// Guards against an accepted configuration change that is lost or reverted. The
// key-value service fails right after a change was accepted, and the instance
// that accepted it is killed. Other instances restart during the outage. Then
// the service returns and serves the revision before the change.
func TestAcceptedConfigurationSurvivesOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "accepted")
	first := configurationRevision(f.Instances[0])
	rev, err := putConfiguration(f, f.Instances[0], "second", first)
	is.NoErr(err)
	setFault(t, f.Find("keyvalue"), `{"down": true}`)
	f.Kill(f.Instances[0])
	for _, p := range f.Instances[1:] {
		eventually(t, p.Name+" has the accepted revision", func() bool { return configurationRevision(p) == rev })
	}
	for _, p := range f.Instances[2:4] {
		f.Kill(p)
		is.NoErr(f.Restart(p))
		eventually(t, p.Name+" has a revision after its restart in the outage", func() bool { return configurationRevision(p) > 0 })
		is.Equal(configurationRevision(p), rev)
	}
	setFault(t, f.Find("keyvalue"), `{"stale": true}`)
	is.NoErr(f.Restart(f.Instances[0]))
	eventually(t, "the killed instance is back", func() bool { return configurationRevision(f.Instances[0]) > 0 })
	for _, p := range f.Instances {
		is.Equal(configurationRevision(p), rev) // no instance reverts to the older revision
	}
}

// Guards against a lost update: operators change the same revision at the same
// time through different instances. Exactly one change must be accepted, and all
// others must be answered with an error.
func TestConcurrentConfigurationChanges(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "race")
	for round := range 5 {
		from := configurationRevision(f.Instances[0])
		eventually(t, "all instances have the current revision", func() bool {
			for _, p := range f.Instances {
				if configurationRevision(p) != from {
					return false
				}
			}
			return true
		})
		accepted := make(chan bool, len(f.Instances))
		for i, p := range f.Instances {
			go func() {
				_, err := putConfiguration(f, p, fmt.Sprintf("r%d-%d", round, i), from)
				accepted <- err == nil
			}()
		}
		n := 0
		for range f.Instances {
			if <-accepted {
				n++
			}
		}
		is.Equal(n, 1)
		eventually(t, "the accepted revision is in force", func() bool { return configurationRevision(f.Instances[0]) > from })
	}
}

// Guards against a graceful shutdown that never finishes since requests don't
// end: a second SIGTERM must end the process.
func TestSecondSignalExitsImmediately(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "signal")
	p := f.Instances[0]
	p.Signal(syscall.SIGTERM)
	eventually(t, "the instance reports that it is shutting down", func() bool {
		res, err := http.Get("http://" + p.Address + "/readyz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusServiceUnavailable
	})
	p.Signal(syscall.SIGTERM)
	eventually(t, "the process has ended", func() bool { return !p.Alive() })
	is.True(!p.Alive())
}

// Guards against a drain request that doesn't return at once, that makes the
// instance refuse callers that still have its address, or after which the
// process doesn't end by itself.
func TestOperatorDrainsInstance(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "drain_request")
	p := f.Instances[0]
	is.NoErr(client.Client{
		Address: p.Address,
	}.Do(context.Background(), http.MethodPost, "/v1/instance/drain", nil, nil))
	is.True(configurationRevision(p) > 0) // it still answers callers that have its address
	eventually(t, "the process has ended", func() bool { return !p.Alive() })
	is.NoErr(p.Err())
}

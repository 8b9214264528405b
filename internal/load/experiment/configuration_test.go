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
	"github.com/egretbend/egretbend/internal/load/fleet"
	faults "github.com/egretbend/egretbend/internal/standin/fault"
)

// patience bounds what a test waits for. It is far above what is promised, so
// that a slow machine gives the same verdict.
const patience = 60 * time.Second

// eventually polls until ok or until patience ends.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	clock := timer.Real{}
	end := clock.Now().Add(patience)
	for !ok() {
		if clock.Now() >= end {
			t.Fatalf("never: %s", what)
		}
		timer.Wait(clock, 50*time.Millisecond, nil)
	}
}

func start(t *testing.T, name string) *fleet.Fleet {
	t.Helper()
	t.Parallel()
	atOnce <- struct{}{}
	f := &fleet.Fleet{
		Binaries:      binaries,
		Folder:        filepath.Join(t.TempDir(), name),
		Scenario:      small(name),
		Configuration: config(t),
		Timer:         timer.Real{},
	}
	t.Cleanup(func() {
		f.Stop()
		<-atOnce
	})
	if err := f.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return f
}

func revision(p *fleet.Process) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var c operator.Configuration
	_ = client.Client{
		Address: p.Address,
	}.Do(ctx, http.MethodGet, "/v1/configuration", nil, &c)
	return c.Revision
}

func put(f *fleet.Fleet, p *fleet.Process, id string, from uint64) (uint64, error) {
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

func setFault(t *testing.T, p *fleet.Process, body string) {
	t.Helper()
	res, err := http.Post("http://"+p.Address+faults.Path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
}

// A change is accepted; in the next moment the key-value service fails and the
// instance that accepted it is killed. Then others are replaced while the
// service is still down, and at last it comes back with the revision before.
// An operator would notice a change that was told accepted and is not in
// force, or an instance that shows the older one again.
func TestAcceptedIsInForceThoughAllFails(t *testing.T) {
	is := is.New(t)
	f := start(t, "accepted")
	first := revision(f.Instances[0])
	rev, err := put(f, f.Instances[0], "second", first)
	is.NoErr(err)
	setFault(t, f.Find("keyvalue"), `{"down": true}`)
	f.Kill(f.Instances[0])
	for _, p := range f.Instances[1:] {
		eventually(t, p.Name+" has the accepted revision", func() bool { return revision(p) == rev })
	}
	for _, p := range f.Instances[2:4] {
		f.Kill(p)
		is.NoErr(f.Restart(p))
		eventually(t, p.Name+" has it after its restart in the outage", func() bool { return revision(p) > 0 })
		is.Equal(revision(p), rev)
	}
	setFault(t, f.Find("keyvalue"), `{"stale": true}`)
	is.NoErr(f.Restart(f.Instances[0]))
	eventually(t, "the killed instance is back", func() bool { return revision(f.Instances[0]) > 0 })
	for _, p := range f.Instances {
		is.Equal(revision(p), rev) // nobody takes the older revision
	}
}

// Operators change the same object at once, through different instances. One
// must win, and the others must hear that they did not.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	f := start(t, "race")
	for round := range 5 {
		from := revision(f.Instances[0])
		eventually(t, "all have the revision", func() bool {
			for _, p := range f.Instances {
				if revision(p) != from {
					return false
				}
			}
			return true
		})
		won := make(chan bool, len(f.Instances))
		for i, p := range f.Instances {
			go func() {
				_, err := put(f, p, fmt.Sprintf("r%d-%d", round, i), from)
				won <- err == nil
			}()
		}
		n := 0
		for range f.Instances {
			if <-won {
				n++
			}
		}
		is.Equal(n, 1)
		eventually(t, "the winner's revision is in force", func() bool { return revision(f.Instances[0]) > from })
	}
}

// An operator stops a process that holds an unknown amount of state by the
// second signal. It must end, also when requests never do.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	f := start(t, "signal")
	p := f.Instances[0]
	p.Signal(syscall.SIGTERM)
	eventually(t, "it is leaving", func() bool {
		res, err := http.Get("http://" + p.Address + "/readyz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusServiceUnavailable
	})
	p.Signal(syscall.SIGTERM)
	eventually(t, "it has ended", func() bool { return !p.Alive() })
	is.True(!p.Alive())
}

// An operator drains an instance through its own door. It must say so at once,
// refuse nobody who still holds its address, and end by itself.
func TestOperatorDrainsInstance(t *testing.T) {
	is := is.New(t)
	f := start(t, "drain_door")
	p := f.Instances[0]
	is.NoErr(client.Client{
		Address: p.Address,
	}.Do(context.Background(), http.MethodPost, "/v1/instance/drain", nil, nil))
	is.True(revision(p) > 0) // it still answers those who hold its address
	eventually(t, "it has ended", func() bool { return !p.Alive() })
	is.NoErr(p.Err())
}

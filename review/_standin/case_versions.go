package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

var cases = map[string]func(d *deployment, trouble bool) error{
	"versions":    runVersions,
	"descriptors": runDescriptors,
	"public":      runPublic,
	"streams":     runStreams,
}

// configuration returns the operator's configuration; rollout holds further fields of the route for
// batches.
func configuration(rollout map[string]any) map[string]any {
	drafts := map[string]any{
		"name": "r-drafts", "host": host, "prefix": "/drafts/", "kind": "rollout", "timeout-ms": 10000, "target-latency-ms": 400,
		"priority": 1, "service": "engines", "max-attempts": 3, "result-deadline-ms": 7500, "item-ttl-s": 40,
	}
	for k, v := range rollout {
		drafts[k] = v
	}
	return map[string]any{
		"version": 2,
		"routes": []any{drafts, map[string]any{
			"name": "r-orders", "host": host, "prefix": "/orders/", "kind": "idempotent", "timeout-ms": 3000, "target-latency-ms": 800,
			"priority": 2, "service": "desks", "max-attempts": 4,
		}},
		"services": []any{
			map[string]any{
				"name": "engines", "health-path": "/health", "max-connections": 340, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 12, "kv-cache-tokens": 100140, "models": []any{map[string]any{"name": model}}},
			},
			map[string]any{"name": "desks", "health-path": "/health", "max-connections": 234, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// runVersions runs steps on a route with single-version. In each step a sampler crashes
// and the process that runs the batch is killed soon after. It checks the rule VERSION.
func runVersions(d *deployment, trouble bool) error {
	d.put(names["config"], configuration(map[string]any{"single-version": true}))
	for range 6 {
		if _, err := d.addSampler("engines", true, 12, 1); err != nil {
			return err
		}
	}
	for range 8 {
		if _, err := d.addSampler("desks", false, 6, 0); err != nil {
			return err
		}
	}
	if err := d.startMachines(10, ""); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	version := uint64(1)
	served := 0
	for n := 0; time.Since(d.record.began) < 88*time.Second; n++ {
		s := d.runStep(n, max(1, version-1), 32, func(id string) {
			if trouble && n > 0 {
				go d.crashAndKill(id, version)
			}
		})
		for _, r := range s.results {
			checkVersions(d.record, s, r)
			served++
		}
		time.Sleep(time.Second) // training
		version++
		d.put(names["version"]+model, map[string]any{"model": model, "version": version})
		d.record.line("version %d is named", version)
		time.Sleep(4500 * time.Millisecond) // until the scheduled time of the next step
	}
	if served == 0 {
		return errNotServed
	}
	return nil
}

// ownerOf returns the machine that runs a batch, or nil.
func (d *deployment) ownerOf(id string) *machine {
	var owner struct {
		Instance string `json:"instance"`
	}
	_ = json.Unmarshal([]byte(d.get("egretbend/open/"+id)), &owner)
	return d.machineNamed(owner.Instance)
}

// crashAndKill crashes the last sampler that has not loaded the version of a step while it runs
// items, and kills the process that runs the batch soon after. Both come back.
func (d *deployment) crashAndKill(id string, version uint64) {
	var last *sampler
	time.Sleep(250 * time.Millisecond)
	for began := time.Now(); last == nil && time.Since(began) < 8*time.Second; time.Sleep(20 * time.Millisecond) {
		last = d.lastLagging(version)
	}
	owner := d.ownerOf(id)
	if owner == nil || last == nil {
		d.record.line("no disruption in %s", id)
		return
	}
	d.record.line("sampler %s crashes", last.id)
	last.down()
	time.Sleep(450 * time.Millisecond)
	d.killFor(owner, time.Second)
	time.Sleep(3 * time.Second)
	if _, err := d.addSampler("engines", true, 12, version); err != nil {
		d.record.line("no new sampler: %v", err)
	}
}

// lastLagging returns the only engine that takes items with the version before a given one, if it runs
// items and another engine takes items with the given version.
func (d *deployment) lastLagging(version uint64) *sampler {
	d.mu.Lock()
	defer d.mu.Unlock()
	var lagging []*sampler
	running, loaded := 0, 0
	for _, s := range d.samplers {
		s.mu.Lock()
		switch {
		case !s.engine || s.isDown || s.busy:
		case s.version == version-1:
			lagging = append(lagging, s)
			running = s.running
		case s.version == version:
			loaded++
		}
		s.mu.Unlock()
	}
	if len(lagging) != 1 || running < 6 || loaded == 0 {
		return nil
	}
	return lagging[0]
}

// killFor kills the process on a machine and starts it again after a pause.
func (d *deployment) killFor(m *machine, pause time.Duration) {
	d.kill(m)
	go func() {
		time.Sleep(pause)
		d.restart(m)
	}()
}

// checkVersions checks the versions of a result against those that its text names.
func checkVersions(r *record, s *step, res result) {
	if res.State != "completed" {
		return
	}
	r.checked++
	made := make(map[uint64]bool)
	for i, line := range strings.Split(res.Text, "\n") {
		var item string
		var event int
		var version uint64
		if _, err := fmt.Sscanf(line, "%s event %d version %d", &item, &event, &version); err != nil || event != i+1 || item != res.ID {
			r.breach("%s of %s: line %d of its text is %q", res.ID, s.id, i+1, line)
			return
		}
		made[version] = true
	}
	named := make(map[uint64]bool)
	for _, v := range res.Versions {
		named[v] = true
	}
	same := len(made) == len(named)
	for v := range made {
		same = same && named[v]
	}
	if !same || len(made) != 1 {
		r.breach("%s of %s: versions %v, but its text was made by %v:\n%s", res.ID, s.id, res.Versions, made, res.Text)
	}
}

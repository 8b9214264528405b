package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// key is the key of the only tenant.
const key = "k-5d07b8e1"

// tenantBounds are the settings of a deployment with tenants.
const tenantBounds = `revoke-strict = true
revoke-ms = 5000`

// tenantConfiguration returns a configuration with a tenant, and with a second route for batches that
// is public if added is set.
func tenantConfiguration(version int, added bool) map[string]any {
	c := configuration(nil)
	c["version"] = version
	c["tenants"] = []any{map[string]any{"name": "saddlers", "api-keys": []string{key}, "priority": 1}}
	if added {
		c["routes"] = append(c["routes"].([]any), map[string]any{
			"name": "r-sketches", "host": host, "prefix": "/sketches/", "kind": "rollout", "timeout-ms": 10000, "target-latency-ms": 400,
			"priority": 1, "service": "engines", "max-attempts": 3, "result-deadline-ms": 7500, "item-ttl-s": 40, "public": true,
		})
	}
	return c
}

// runPublic submits batches with the key of a tenant and reads them with it, before and after the
// operator adds a public route for batches, to which the later ones go. It checks the rule LOST for
// accepted batches.
func runPublic(d *deployment, trouble bool) error {
	d.put(names["config"], tenantConfiguration(2, false))
	for range 4 {
		if _, err := d.addSampler("engines", true, 12, 1); err != nil {
			return err
		}
		if _, err := d.addSampler("desks", false, 6, 0); err != nil {
			return err
		}
	}
	if err := d.startMachines(6, tenantBounds); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	for n := range 3 {
		if err := d.submitAndRead(n, "/drafts/"); err != nil {
			return err
		}
	}
	prefix := "/drafts/"
	if trouble {
		d.put(names["config"], tenantConfiguration(4, true))
		d.record.line("version 4 is acknowledged: it adds the public route /sketches/ for batches")
		prefix = "/sketches/"
	}
	time.Sleep(5 * time.Second)
	for n := range 6 {
		if err := d.submitAndRead(10+n, prefix); err != nil {
			return err
		}
	}
	return nil
}

// submitAndRead submits a batch to a route with the key of the tenant, and reads it at several machines from
// 1.5 s after the 202 on, which is later than settle-ms.
func (d *deployment) submitAndRead(n int, prefix string) error {
	id := fmt.Sprintf("batch%04d", n)
	var items []map[string]any
	for i := range 4 {
		item := fmt.Sprintf("%sx%d", id, i)
		items = append(items, map[string]any{
			"id": item, "path": prefix + "x", "body": []byte("sketch"), "tokens": 1200, "group": "g",
			"headers": map[string]string{"Model": model, "Token-Count": "1016,184"},
			"scorer":  map[string]any{"id": "reward" + item, "host": host, "path": "/orders/x", "body": []byte("text")},
		})
	}
	body, err := json.Marshal(map[string]any{"step": n, "model": model, "min-version": 1, "group-count": 1, "items": items})
	if err != nil {
		return err
	}
	header := map[string]string{"Authorization": "Bearer " + key, names["wait"]: "0"}
	accepted := false
	for range 5 {
		m := d.anyMachine()
		status, answer, err := d.call(m, http.MethodPost, prefix+id, id, body, header)
		d.record.line("batch %s sent to %s: %d %v %s", id, m.name, status, err, answer)
		if accepted = status == http.StatusAccepted; accepted {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if !accepted {
		return errNotServed
	}
	time.Sleep(1500 * time.Millisecond)
	for _, m := range d.machines {
		status, answer, err := d.call(m, http.MethodGet, names["batches"]+id+"?after=0", id, nil, header)
		d.record.line("read of %s at %s: %d %v %.100s", id, m.name, status, err, answer)
		d.record.checked++
		if status == http.StatusNotFound || status == http.StatusGone {
			d.record.breach("%s answers %d for batch %s, which was accepted 1.5 s before: %s", m.name, status, id, answer)
		}
	}
	status, answer, err := d.call(d.anyMachine(), http.MethodGet, names["batches"]+id+"?after=0", id, nil, nil)
	d.record.line("read of %s without a key: %d %v %.100s", id, status, err, answer)
	status, answer, err = d.call(d.anyMachine(), http.MethodDelete, names["batches"]+id, id, nil, header)
	d.record.line("end of %s: %d %v %s", id, status, err, answer)
	return nil
}

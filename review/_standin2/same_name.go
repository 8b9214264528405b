package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// tenantConfiguration has a tenant, a route for its batches and a public one for those of others.
const tenantConfiguration = `{"version":7,"routes":[
{"name":"r-drafts","host":"` + host + `","prefix":"/pule252/","kind":"rollout","timeout-ms":10000,"target-latency-ms":400,"priority":1,"service":"huvo11a","max-attempts":3,"result-deadline-ms":7500,"item-ttl-s":40,"sticky":true},
{"name":"r-open","host":"` + host + `","prefix":"/lohu930/","kind":"rollout","public":true,"timeout-ms":10000,"target-latency-ms":400,"priority":1,"service":"huvo11a","max-attempts":3,"result-deadline-ms":7500,"item-ttl-s":40,"sticky":true}],
"services":[{"name":"huvo11a","health-path":"/health","max-connections":340,"protocol":"h1","tls":false,"engine":{"slots":12,"kv-cache-tokens":100140,"kv-token-bytes":163840,"link-mbps":5900000.0,"models":[{"name":"` + model + `"}]}}],
"tenants":[{"name":"hule930","api-keys":["k-51f0c2e9a7"]},{"name":"fida11","api-keys":["k-c07d2b6e34"]}],
"limits":{"max-header-bytes":16384,"max-body-bytes":33554432,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// owner is a client that submits and reads batches, with a key or without one.
type owner struct {
	who, key, prefix string
}

func (o owner) header(more map[string]string) map[string]string {
	h := map[string]string{}
	for k, v := range more {
		h[k] = v
	}
	if o.key != "" {
		h["Authorization"] = "Bearer " + o.key
	}
	return h
}

// submit submits a batch, again after each failure, and returns its items.
func (o owner) submit(s *system, id, tag string) ([]string, error) {
	var items []map[string]any
	var ids []string
	for i := range 24 {
		item := fmt.Sprintf("%s-%02d", tag, i)
		ids = append(ids, item)
		items = append(items, map[string]any{
			"id": item, "path": o.prefix + "x/" + item, "group": fmt.Sprintf("g%d", i/4), "body": "cHJvbXB0", "tokens": 1416,
			"headers": map[string]string{
				"Model": model, "Token-Count": "1016,400", "Length-Hint": "120",
				names["prefix"]: fmt.Sprintf("9c2e%02x:1000,%02x:16", i/4, i),
			},
		})
	}
	body, _ := json.Marshal(map[string]any{"step": 1, "model": model, "min-version": 1, "group-count": 5, "items": items})
	for i := range 5 {
		n := s.nodes[i%len(s.nodes)]
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		status, _, data, err := call(ctx, http.MethodPost, n.front, host, o.prefix+tag, o.header(map[string]string{names["request_id"]: id}), body)
		cancel()
		s.log.add("%s submits %s with items %s-00 to -23 at %s: %d %v %s", o.who, id, tag, n.name, status, err, data)
		if status == http.StatusAccepted {
			return ids, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil, fmt.Errorf("%s: the batch %s was not accepted", o.who, id)
}

// read reads a batch at all processes in turn until all of its results are there or the limit has
// passed, and returns the names of their items and the total.
func (o owner) read(s *system, id string, count int, limit time.Duration) (items []string, total int) {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end) && len(items) < count; i++ {
		n := s.nodes[i%len(s.nodes)]
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		status, _, data, err := call(ctx, http.MethodGet, n.front, host, fmt.Sprintf("%s%s?after=%d", names["lots"], id, len(items)), o.header(nil), nil)
		cancel()
		var page struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}
		if status == http.StatusOK {
			_ = json.Unmarshal(data, &page)
			total = page.Total
		}
		for _, r := range page.Results {
			items = append(items, r.ID)
		}
		if len(page.Results) > 0 || status != http.StatusOK {
			s.log.add("%s reads %s at %s: %d %v, %d results, the first of item %v", o.who, id, n.name, status, err, len(page.Results), first(page.Results))
		}
		time.Sleep(400 * time.Millisecond)
	}
	return items, total
}

func first(results []result) string {
	if len(results) == 0 {
		return "none"
	}
	return results[0].ID
}

// sameName: a tenant and a client without a key each submit a batch. The latter calls its batch
// like the tenant's, with @ and the tenant's name behind it.
func sameName(log *record, trouble bool) ([]string, error) {
	s, err := newSystem(log)
	if err != nil {
		return nil, err
	}
	defer s.close(false)
	s.store.put(names["config"], []byte(tenantConfiguration))
	zones := []string{"mechelen-a", "mechelen-b", "antwerpen-a"}
	for i := range 4 {
		sm := &sampler{
			id: fmt.Sprintf("i-7f3a91%02d", i), service: "huvo11a", zone: zones[i%3], slots: 12, models: true,
			interval: 50 * time.Millisecond, events: 12, versions: map[string]uint64{model: 1},
		}
		if err := s.addSampler(sm); err != nil {
			return nil, err
		}
	}
	for _, z := range zones {
		if err := s.addNode(z); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)

	tenant := owner{who: "tenant hule930", key: "k-51f0c2e9a7", prefix: "/pule252/"}
	guest := owner{who: "client without a key", prefix: "/lohu930/"}
	var broken []string
	for i, round := range []struct {
		name   string
		order  []owner
		guests string
	}{
		{"nightly-7", []owner{tenant, guest}, "nightly-7@hule930"},
		{"nightly-8", []owner{guest, tenant}, "nightly-8@hule930"},
	} {
		if !trouble {
			round.guests = round.name + "-for-hule930"
		}
		submitted := map[string][]string{}
		called := func(o owner) string {
			if o.key == "" {
				return round.guests
			}
			return round.name
		}
		for k, o := range round.order {
			tag := fmt.Sprintf("round%d-%s", i, map[bool]string{true: "guest", false: "tenant"}[o.key == ""])
			ids, err := o.submit(s, called(o), tag)
			if err != nil {
				return nil, err
			}
			submitted[o.who] = ids
			if k == 0 {
				time.Sleep(500 * time.Millisecond)
			}
		}
		for _, o := range round.order {
			own := submitted[o.who]
			items, total := o.read(s, called(o), len(own), 10*time.Second)
			foreign := 0
			for _, it := range items {
				if !slices.Contains(own, it) {
					foreign++
				}
			}
			ran := map[string]bool{}
			for _, r := range s.runs() {
				if slices.Contains(own, r.id) {
					ran[r.id] = true
				}
			}
			log.add("%s, batch %s: %d results of total %d, %d of them of items that it did not submit; %d of its %d items ran",
				o.who, called(o), len(items), total, foreign, len(ran), len(own))
			if foreign > 0 {
				broken = append(broken, fmt.Sprintf("MIXED: %s reads its batch %s (202): %d of %d results name items of another batch submission; %d of its own %d items ever ran",
					o.who, called(o), foreign, len(items), len(ran), len(own)))
			} else if len(items) < len(own) {
				return nil, fmt.Errorf("%s: %d of %d results", called(o), len(items), len(own))
			}
		}
	}
	// For the record alone: the same names in the hands of a client that has no batch of its own.
	for _, o := range []owner{{who: "stranger without a key"}, {who: "tenant fida11", key: "k-c07d2b6e34"}} {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		status, _, data, err := call(ctx, http.MethodGet, s.nodes[1].front, host, names["lots"]+"nightly-7@hule930?after=0", o.header(nil), nil)
		cancel()
		log.add("%s asks for nightly-7@hule930, which it never submitted: %d %v %.120s", o.who, status, err, data)
	}
	return broken, nil
}

package main

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	host  = "ficu95.example"
	model = "daka510000"
)

// configuration has a route for batches and one for streams to the model samplers.
const configuration = `{"version":7,"routes":[
{"name":"r-drafts","host":"` + host + `","prefix":"/pule252/","kind":"rollout","timeout-ms":10000,"target-latency-ms":400,"priority":1,"service":"huvo11a","max-attempts":3,"result-deadline-ms":7500,"item-ttl-s":40,"sticky":true},
{"name":"r-ask","host":"` + host + `","prefix":"/lohu930/","kind":"streaming","timeout-ms":10000,"target-latency-ms":400,"priority":1,"service":"huvo11a","max-attempts":2,"sticky":true}],
"services":[{"name":"huvo11a","health-path":"/health","max-connections":340,"protocol":"h1","tls":false,"engine":{"slots":12,"kv-cache-tokens":100140,"kv-token-bytes":163840,"link-mbps":5900000.0,"models":[{"name":"` + model + `"}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":33554432,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// batchOf returns a step of a trainer with groups of four items.
func batchOf(step, groups int, oldest uint64) (batch map[string]any, ids []string) {
	var items []map[string]any
	for g := range groups {
		for i := range 4 {
			id := fmt.Sprintf("%08x%04x%04x", 0xe5b20000+step, g, i)
			ids = append(ids, id)
			items = append(items, map[string]any{
				"id":   id,
				"path": fmt.Sprintf("/pule252/%d/%s", step, id),
				"headers": map[string]string{
					"Model": model, "Token-Count": "1016,400", "Length-Hint": "120",
					names["prefix"]: fmt.Sprintf("9c2e%02x%02x:1000,%s:16", step, g, id),
				},
				"body":   base64.StdEncoding.EncodeToString([]byte("prompt " + id)),
				"tokens": 1416,
				"group":  fmt.Sprintf("g%d-%d", step, g),
			})
		}
	}
	return map[string]any{
		"step": step, "model": model, "min-version": oldest, "group-count": groups * 9 / 10, "items": items,
	}, ids
}

// follow reads a step until all of its results are there or the limit has passed, ends it, and
// returns the results by item.
func (s *system) follow(id string, total int, limit time.Duration) map[string]result {
	got := map[string]result{}
	after, end := 0, time.Now().Add(limit)
	for i := 0; time.Now().Before(end) && len(got) < total; i++ {
		if s.betweenReads != nil {
			s.betweenReads()
		}
		_, results, next := s.read(s.nodes[i%len(s.nodes)], host, id, after, 0)
		for _, r := range results {
			got[r.ID] = r
		}
		after = max(after, next)
		time.Sleep(500 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status, _, _, err := call(ctx, http.MethodDelete, s.nodes[0].front, host, names["lots"]+id, nil, nil)
	s.log.add("end %s: %d %v; %d of %d results", id, status, err, len(got), total)
	return got
}

// expectVersion: a step runs on idle samplers; clients ask each process for one stream with
// Expect-Version, of the version before the one that the samplers have.
func expectVersion(log *record, trouble bool) ([]string, error) {
	s, err := newSystem(log)
	if err != nil {
		return nil, err
	}
	defer s.close(false)
	s.store.put(names["config"], []byte(configuration))
	zones := []string{"mechelen-a", "mechelen-b", "antwerpen-a"}
	for i := range 4 {
		sm := &sampler{
			id: fmt.Sprintf("i-7f3a91%02d", i), service: "huvo11a", zone: zones[i%3], slots: 12, models: true,
			interval: 100 * time.Millisecond, events: 12, versions: map[string]uint64{model: 1},
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

	// A first step shows that the system works, and its trainer names version 2.
	batch, ids := batchOf(0, 12, 1)
	if _, err := s.submit(host, "/pule252/", "7c41e09b52d60000", batch, 5); err != nil {
		return nil, err
	}
	if got := s.follow("7c41e09b52d60000", len(ids), 12*time.Second); len(got) < len(ids) {
		return nil, fmt.Errorf("the first step has %d of %d results", len(got), len(ids))
	}
	s.store.put(names["version"]+model, []byte(`{"model":"`+model+`","version":2}`))
	named := time.Now()
	log.add("version 2 named")
	for _, sm := range s.samplers {
		for sm.version(model) != 2 {
			if time.Since(named) > 15*time.Second {
				return nil, fmt.Errorf("%s did not get version 2", sm.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(max(0, 8*time.Second-time.Since(named)))

	// The second step has more items than the samplers have slots.
	batch, ids = batchOf(1, 30, 1)
	accepted, err := s.submit(host, "/pule252/", "7c41e09b52d60001", batch, 5)
	if err != nil {
		return nil, err
	}
	busy := make(chan []int, 1)
	stopBusy := make(chan struct{})
	go s.watchRunning(stopBusy, busy)
	time.Sleep(600 * time.Millisecond)
	version := "1"
	if !trouble {
		version = "2"
	}
	for i, n := range s.nodes {
		id := fmt.Sprintf("9c41d07be2a3%04x", i)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		status, _, data, err := call(ctx, http.MethodPost, n.front, host, "/lohu930/2f", map[string]string{
			names["request_id"]: id, names["deadline"]: "4000", "Model": model, "Token-Count": "1016,400",
			names["prefix"]: "9c2e41:1000," + id + ":16", "Expect-Version": version,
		}, []byte("ask"))
		cancel()
		log.add("client's stream %s with Expect-Version %s at %s: %d %v %.200q", id, version, n.name, status, err, data)
	}
	got := s.follow("7c41e09b52d60001", len(ids), 12*time.Second-time.Since(accepted))
	ended := time.Now()
	close(stopBusy)
	running := <-busy
	return s.judgeStep(ids, got, accepted, ended, running), nil
}

// watchRunning notes each 100 ms how many requests run at all samplers.
func (s *system) watchRunning(stop chan struct{}, out chan []int) {
	var list []int
	for {
		n := 0
		for _, sm := range s.samplers {
			sm.mu.Lock()
			n += sm.running
			sm.mu.Unlock()
		}
		list = append(list, n)
		select {
		case <-stop:
			out <- list
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// judgeStep applies the rule LOST for steps: the step ran out of time while one of its items, which
// no sampler has finished or failed, was at no sampler for 5 s, others of the step had begun and the
// samplers were under half full.
func (s *system) judgeStep(ids []string, got map[string]result, accepted, ended time.Time, running []int) []string {
	if len(got) == len(ids) {
		return nil
	}
	slots := 0
	for _, sm := range s.samplers {
		slots += sm.slots
	}
	most := 0
	for _, n := range running[max(0, len(running)-50):] {
		most = max(most, n)
	}
	begun := map[string]bool{}
	done := map[string]bool{}
	lastAt := map[string]time.Time{}
	for _, r := range s.runs() {
		begun[r.id] = true
		if r.outcome == "finished" {
			done[r.id] = true
		}
		at := r.ended
		if at.IsZero() {
			at = ended
		}
		if at.After(lastAt[r.id]) {
			lastAt[r.id] = at
		}
	}
	var waiting []string
	others := 0
	for _, id := range ids {
		if begun[id] {
			others++
		}
		since := accepted
		if lastAt[id].After(since) {
			since = lastAt[id]
		}
		if !done[id] && ended.Sub(since) >= 5*time.Second {
			waiting = append(waiting, id)
		}
	}
	s.log.add("step ended %.1f s after its 202: %d of %d results, %d items begun, %d unfinished ones at no sampler for 5 s; in these 5 s at most %d of %d slots were taken",
		ended.Sub(accepted).Seconds(), len(got), len(ids), others, len(waiting), most, slots)
	if len(waiting) == 0 || others == 0 || 2*most >= slots {
		return nil
	}
	return []string{fmt.Sprintf("LOST: the step ran out of time with %d items at no sampler for 5 s, while at most %d of %d slots were taken: %s ...",
		len(waiting), most, slots, strings.Join(waiting[:min(3, len(waiting))], " "))}
}

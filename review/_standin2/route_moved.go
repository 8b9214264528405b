package main

import (
	"fmt"
	"time"
)

// movedConfiguration has one route for batches, to one of two services that serve the same model.
func movedConfiguration(version int, service string) string {
	engine := `"engine":{"slots":12,"kv-cache-tokens":100140,"kv-token-bytes":163840,"link-mbps":5900000.0,"models":[{"name":"` + model + `"}]}`
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-drafts","host":"%s","prefix":"/pule252/","kind":"rollout","timeout-ms":10000,"target-latency-ms":400,"priority":1,"service":"%s","max-attempts":3,"result-deadline-ms":7500,"item-ttl-s":40,"sticky":true}],
"services":[{"name":"huvo11a","health-path":"/health","max-connections":340,"protocol":"h1","tls":false,%s},
{"name":"wuno96b","health-path":"/health","max-connections":340,"protocol":"h1","tls":false,%s}],
"limits":{"max-header-bytes":16384,"max-body-bytes":33554432,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, version, host, service, engine, engine)
}

// routeMoved: while a step runs, a configuration moves its route to another service with idle
// samplers of the same model, and the samplers of the old one drain and leave one after the other.
func routeMoved(log *record, trouble bool) ([]string, error) {
	s, err := newSystem(log)
	if err != nil {
		return nil, err
	}
	defer s.close(false)
	s.store.put(names["config"], []byte(movedConfiguration(7, "huvo11a")))
	zones := []string{"mechelen-a", "mechelen-b", "antwerpen-a"}
	for i := range 14 {
		sm := &sampler{
			id: fmt.Sprintf("i-7f3a91%02d", i), service: "huvo11a", zone: zones[i%3], slots: 12, models: true,
			interval: 100 * time.Millisecond, events: 12, versions: map[string]uint64{model: 1},
		}
		if i >= 2 {
			sm.service = "wuno96b"
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

	batch, ids := batchOf(1, 30, 1)
	accepted, err := s.submit(host, "/pule252/", "7c41e09b52d60001", batch, 5)
	if err != nil {
		return nil, err
	}
	if trouble {
		go func() {
			time.Sleep(time.Second)
			s.store.put(names["config"], []byte(movedConfiguration(9, "wuno96b")))
			log.add("configuration 9 acknowledged: the route leads to wuno96b")
			time.Sleep(2500 * time.Millisecond)
			for _, sm := range s.samplers[:2] {
				go s.drain(sm)
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
	busy := make(chan []int, 1)
	stopBusy := make(chan struct{})
	go s.watchRunning(stopBusy, busy)
	got := s.follow("7c41e09b52d60001", len(ids), 12*time.Second-time.Since(accepted))
	ended := time.Now()
	close(stopBusy)
	return s.judgeStep(ids, got, accepted, ended, <-busy), nil
}

// drain has a sampler report that it drains, serve on for drain-ms and a little longer, and leave.
func (s *system) drain(sm *sampler) {
	sm.mu.Lock()
	sm.draining = true
	sm.mu.Unlock()
	s.store.put(names["servers"]+sm.id, sm.entry())
	s.log.add("%s reports draining", sm.id)
	time.Sleep(2300 * time.Millisecond)
	sm.mu.Lock()
	sm.left = true
	sm.mu.Unlock()
	s.store.drop(names["servers"] + sm.id)
	_ = sm.server.Close()
	s.log.add("%s has left", sm.id)
}

package main

import (
	"fmt"
	"net/url"
	"os"
	"strings"
	"syscall"
	"time"
)

// nestedName: a trainer calls two batches ID and ID/2. While the first one runs, the machine that
// runs it is stopped with SIGTERM and started again, as in a roll. With FLAT=1 in the environment
// the second batch is called ID-2, for comparison.
func nestedName(log *record, trouble bool) ([]string, error) {
	s, err := newSystem(log)
	if err != nil {
		return nil, err
	}
	defer s.close(false)
	s.store.put(names["config"], []byte(configuration))
	zones := []string{"mechelen-a", "mechelen-b", "antwerpen-a"}
	for i := range 3 {
		sm := &sampler{
			id: fmt.Sprintf("i-7f3a91%02d", i), service: "huvo11a", zone: zones[i%3], slots: 12, models: true,
			interval: 150 * time.Millisecond, events: 12, versions: map[string]uint64{model: 1},
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

	first, second := "9c41d07be2a35f68", "9c41d07be2a35f68/2"
	if os.Getenv("FLAT") == "1" {
		second = "9c41d07be2a35f68-2"
	}
	small, _ := batchOf(1, 1, 1)
	if _, err := s.submit(host, "/pule252/", second, small, 5); err != nil {
		return nil, err
	}
	batch, ids := batchOf(2, 40, 1)
	accepted, err := s.submit(host, "/pule252/", first, batch, 5)
	if err != nil {
		return nil, err
	}
	restart := make(chan *node, 1)
	if trouble {
		n := s.starter(first)
		if n == nil {
			return nil, fmt.Errorf("it is not known who runs the batch")
		}
		time.Sleep(300 * time.Millisecond)
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
		log.add("SIGTERM to %s, which runs %s", n.name, first)
		ended := make(chan struct{})
		old := n.cmd
		go func() {
			_ = old.Wait()
			log.add("%s has ended", n.name)
			restart <- n
			close(ended)
		}()
		defer func() { <-ended }()
	}
	busy := make(chan []int, 1)
	stopBusy := make(chan struct{})
	go s.watchRunning(stopBusy, busy)
	metrics, err := s.freePort()
	if err != nil {
		return nil, err
	}
	s.betweenReads = func() {
		select {
		case n := <-restart:
			log.add("%s is started again: %v", n.name, s.startNode(n, metrics))
		default:
		}
	}
	got := s.follow(url.PathEscape(first), len(ids), 12*time.Second-time.Since(accepted))
	ended := time.Now()
	close(stopBusy)
	return s.judgeStep(ids, got, accepted, ended, <-busy), nil
}

// starter returns the process that began to run a batch last, by what it wrote to the store.
func (s *system) starter(id string) *node {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for key, it := range s.store.items {
		if !strings.HasSuffix(key, "/open/"+id) {
			continue
		}
		for _, n := range s.nodes {
			if strings.Contains(string(it.Value), n.name) {
				return n
			}
		}
	}
	return nil
}

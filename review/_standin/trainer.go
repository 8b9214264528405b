package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// result is a result as a page lists it.
type result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Text     string   `json:"text"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

// groupSize is the number of items of a group.
const groupSize = 8

// step is a trainer's step.
type step struct {
	id         string
	minVersion uint64
	groups     int
	items      int
	results    []result
}

// anyMachine returns a random machine.
func (d *deployment) anyMachine() *machine { return d.machines[rand.IntN(len(d.machines))] }

// runStep submits a batch, reads it until the wanted groups are whole or time is up, and ends it.
// accepted is called after the 202.
func (d *deployment) runStep(n int, minVersion uint64, groups int, accepted func(id string)) *step {
	s := &step{
		id:         fmt.Sprintf("step%04d", n),
		minVersion: minVersion,
		groups:     groups,
		items:      groups * groupSize,
	}
	var items []map[string]any
	groupOf := make(map[string]string)
	for i := range s.items {
		id := fmt.Sprintf("item%04dx%03d", n, i)
		groupOf[id] = fmt.Sprint("g", i/groupSize)
		items = append(items, map[string]any{
			"id": id, "path": "/drafts/x", "body": []byte("sketch"), "tokens": 1200, "group": groupOf[id],
			"headers": map[string]string{"Model": model, "Token-Count": "1016,184"},
			"scorer":  map[string]any{"id": "reward" + id, "host": host, "path": "/orders/x", "body": []byte("text")},
		})
	}
	body, err := json.Marshal(map[string]any{"step": n, "model": model, "min-version": minVersion, "group-count": groups * 9 / 10, "items": items})
	if err != nil {
		panic(err)
	}
	began := time.Now()
	for {
		m := d.anyMachine()
		status, _, err := d.call(m, http.MethodPost, "/drafts/"+s.id, s.id, body, nil)
		d.record.line("batch %s sent to %s: %d %v", s.id, m.name, status, err)
		if status == http.StatusAccepted {
			break
		}
		if time.Since(began) > 10*time.Second {
			return s
		}
		time.Sleep(300 * time.Millisecond)
	}
	if accepted != nil {
		accepted(s.id)
	}
	whole := make(map[string]int)
	wholeGroups := 0
	for time.Since(began) < 12*time.Second && wholeGroups < groups*9/10 {
		asked := time.Now()
		for _, r := range d.readPage(s.id, len(s.results)) {
			s.results = append(s.results, r)
			whole[groupOf[r.ID]]++
			if whole[groupOf[r.ID]] == groupSize {
				wholeGroups++
			}
		}
		if rest := 500*time.Millisecond - time.Since(asked); rest > 0 {
			time.Sleep(rest)
		}
	}
	for range 20 {
		m := d.anyMachine()
		status, _, err := d.call(m, http.MethodDelete, names["batches"]+s.id, s.id, nil, nil)
		d.record.line("end of %s sent to %s: %d %v; %d results, %d whole groups", s.id, m.name, status, err, len(s.results), wholeGroups)
		if status == http.StatusOK {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return s
}

// readPage reads results from a position on at a random machine.
func (d *deployment) readPage(id string, after int) []result {
	m := d.anyMachine()
	status, body, err := d.call(m, http.MethodGet, fmt.Sprintf("%s%s?after=%d", names["batches"], id, after), id, nil, map[string]string{names["wait"]: "1000"})
	var page struct {
		Results []result `json:"results"`
	}
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, &page)
	}
	d.record.line("read %s from %d at %s: %d %v, %d results", id, after, m.name, status, err, len(page.Results))
	return page.Results
}

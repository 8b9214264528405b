package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamEvents and streamPause make streams of 4.2 s.
	streamEvents = 42
	streamPause  = 100 * time.Millisecond
	// streamClients is the number of clients, each with one stream at a time.
	streamClients = 130
	// excused is how long after a SIGTERM a request was sent at most that may be broken off at the
	// end of the grace period (3 s, and 0.1 s for the signal), and graceTime that period.
	excused   = 3100 * time.Millisecond
	graceTime = 8 * time.Second
	// streamRollGap is the time between two stops, and streamRolls how often all machines are stopped
	// in turn.
	streamRollGap = 2 * time.Second
	streamRolls   = 2
)

// streamRoute is the configuration of the route for streams.
var streamRoute = map[string]any{
	"name": "r-live", "host": host, "prefix": "/live/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 400,
	"priority": 1, "service": "engines", "max-attempts": 2,
}

// sentStream is a stream as its client saw it.
type sentStream struct {
	machine *machine
	sent    time.Time
	ended   time.Time
	begun   bool
	whole   bool
	why     string
}

// runStreams has clients read streams while all machines are stopped and started in turn. It checks
// the rule LOST for planned work.
func runStreams(d *deployment, trouble bool) error {
	c := configuration(nil)
	c["routes"] = append(c["routes"].([]any), streamRoute)
	d.put(names["config"], c)
	for range 12 {
		s, err := d.addSampler("engines", true, 12, 1)
		if err != nil {
			return err
		}
		s.events, s.eventTime = streamEvents, streamPause
	}
	if err := d.startMachines(10, ""); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	var streams []*sentStream
	stopped := make(map[*machine][]time.Time)
	var wg sync.WaitGroup
	end := time.Now().Add(62 * time.Second)
	for i := range streamClients {
		wg.Go(func() {
			time.Sleep(time.Duration(rand.Float64() * float64(streamEvents) * float64(streamPause)))
			var addresses []string
			var kept time.Time
			for n := 0; time.Now().Before(end); n++ {
				if time.Now().After(kept) || len(addresses) == 0 {
					var ttl time.Duration
					addresses, ttl = d.resolve()
					if i%3 == 0 {
						ttl *= 3 // some clients keep an answer three times as long
					}
					kept = time.Now().Add(ttl)
				}
				if len(addresses) == 0 {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				s := d.stream(fmt.Sprintf("live%03dx%03d", i, n), addresses[rand.IntN(len(addresses))])
				mu.Lock()
				streams = append(streams, s)
				mu.Unlock()
				if !s.whole {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	if trouble {
		time.Sleep(6 * time.Second)
		for range streamRolls {
			for _, m := range d.machines {
				mu.Lock()
				stopped[m] = append(stopped[m], time.Now())
				mu.Unlock()
				wg.Go(func() { d.stopAndStart(m) })
				time.Sleep(streamRollGap)
			}
		}
	}
	wg.Wait()
	served := 0
	for _, s := range streams {
		d.record.checked++
		if s.whole {
			served++
			continue
		}
		at, known := lastBefore(stopped[s.machine], s.sent)
		after := s.sent.Sub(at)
		if s.begun && known && after > excused && s.ended.Sub(at) <= graceTime+time.Second {
			d.record.breach("a stream sent to %s %.2f s after its SIGTERM broke off %.2f s after it: %s", s.machine.name, after.Seconds(), s.ended.Sub(at).Seconds(), s.why)
		}
	}
	d.record.line("%d of %d streams whole", served, len(streams))
	if served == 0 {
		return errNotServed
	}
	return nil
}

// lastBefore returns the last of some times that is before t, and whether there is one.
func lastBefore(times []time.Time, t time.Time) (last time.Time, ok bool) {
	for _, at := range times {
		if at.Before(t) {
			last, ok = at, true
		}
	}
	return last, ok
}

// resolve asks a directory which addresses to use, and for how long.
func (d *deployment) resolve() ([]string, time.Duration) {
	for range 3 {
		m := d.anyMachine()
		res, err := d.client.Get(fmt.Sprintf("http://%s:%d%s?name=%s&region=be-flanders&zone=%s", m.ip, directoryPort, names["resolve"], url.QueryEscape(host), zones[rand.IntN(len(zones))]))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl-s"`
		}
		err = json.NewDecoder(res.Body).Decode(&answer)
		_ = res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK && len(answer.Addresses) > 0 {
			return answer.Addresses, time.Duration(min(answer.TTL, 5) * float64(time.Second))
		}
	}
	return nil, 0
}

var errNotWhole = errors.New("the stream ended before its last event")

// stream reads one stream over a new connection.
func (d *deployment) stream(id, address string) *sentStream {
	s := &sentStream{}
	for _, m := range d.machines {
		if strings.HasPrefix(address, m.ip+":") {
			s.machine = m
		}
	}
	client := http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/live/x", strings.NewReader("sketch"))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set(names["id"], id)
	req.Header.Set(names["deadline"], "12000")
	req.Header.Set("Model", model)
	req.Header.Set("Token-Count", "1016,184")
	s.sent = time.Now()
	last := 0
	status := 0
	res, err := client.Do(req)
	if err == nil {
		status = res.StatusCode
		s.begun = status == http.StatusOK
		lines := bufio.NewScanner(res.Body)
		for lines.Scan() {
			_, _ = fmt.Sscanf(lines.Text(), "id: %d", &last)
		}
		err = lines.Err()
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	s.ended = time.Now()
	if err == nil && status == http.StatusOK && last != streamEvents {
		err = errNotWhole
	}
	s.whole = err == nil && status == http.StatusOK
	s.why = fmt.Sprintf("status %d, last event %d, %v", status, last, err)
	d.record.line("client's %s sent to %s at %.3f: %s", id, s.machine.name, s.sent.Sub(d.record.began).Seconds(), s.why)
	return s
}

// stopAndStart stops the process on a machine as the platform does, and starts it again.
func (d *deployment) stopAndStart(m *machine) {
	d.record.line("SIGTERM to the process on %s", m.name)
	began := time.Now()
	_ = m.process.Process.Signal(syscall.SIGTERM)
	_ = m.process.Wait()
	d.record.line("the process on %s has ended after %.2f s", m.name, time.Since(began).Seconds())
	d.restart(m)
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// descriptors is the limit of file descriptors of a machine.
	descriptors = 2870
	// callers is how many clients keep a connection to one machine during the press.
	callers = 3000
	// pressTime is how long the press lasts.
	pressTime = 11500 * time.Millisecond
	// configApply is the bound config-apply-ms.
	configApply = 2 * time.Second
	// rolled is how many other machines are stopped and started in turn, and rollGap the time
	// between two of them.
	rolled  = 4
	rollGap = 1300 * time.Millisecond
)

// runDescriptors lets many clients keep connections to one machine for some seconds, while others are
// stopped and started in turn. Long after that the operator moves a route to another service. It
// checks the rule CONFIG.
func runDescriptors(d *deployment, trouble bool) error {
	d.put(names["config"], movedConfiguration(2, "desks"))
	for _, service := range []string{"desks", "tables", "engines"} {
		for range 6 {
			s, err := d.addSampler(service, service == "engines", 12, 1)
			if err != nil {
				return err
			}
			s.work = 10 * time.Millisecond
		}
	}
	if err := d.startMachines(10, ""); err != nil {
		return err
	}
	for _, m := range d.machines {
		limit := &unix.Rlimit{Cur: descriptors, Max: descriptors}
		if err := unix.Prlimit(m.process.Process.Pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
			return err
		}
	}
	defer d.train(12)()
	time.Sleep(6 * time.Second)
	pressed := d.ownerOf(*d.batch.Load())
	for began := time.Now(); pressed == nil && time.Since(began) < 8*time.Second; time.Sleep(50 * time.Millisecond) {
		pressed = d.ownerOf(*d.batch.Load())
	}
	if pressed == nil {
		return errNotServed
	}
	var others []*machine
	for _, m := range d.machines {
		if m != pressed && len(others) < rolled {
			others = append(others, m)
		}
	}
	if trouble {
		var wg sync.WaitGroup
		wg.Go(func() { d.press(pressed) })
		for i, m := range others {
			wg.Go(func() {
				time.Sleep(2*time.Second + time.Duration(i)*rollGap)
				d.stopAndStart(m)
			})
		}
		wg.Wait()
		d.record.line("the press has ended")
	}
	time.Sleep(12 * time.Second) // 5 s as slowed, and contact-ms
	d.probe("before", pressed, 10)
	d.put(names["config"], movedConfiguration(4, "tables"))
	acked := time.Now()
	d.record.line("version 4 is acknowledged: /orders/ goes to the service tables")
	time.Sleep(configApply + 500*time.Millisecond)
	for time.Since(acked) < 12*time.Second {
		for _, m := range d.machines {
			if slices.Contains(others, m) {
				continue // it was stopped a moment ago
			}
			for _, server := range d.probe("after", m, 2) {
				d.record.checked++
				if strings.HasPrefix(server, "i-desks") {
					d.record.breach("a request sent to %s %s after the ack was run by %s, of the old service", m.name, time.Since(acked).Round(100*time.Millisecond), server)
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	if d.record.checked == 0 {
		return errNotServed
	}
	return nil
}

// movedConfiguration returns a configuration whose plain route leads to a service.
func movedConfiguration(version int, service string) map[string]any {
	c := configuration(nil)
	c["version"] = version
	c["routes"].([]any)[1].(map[string]any)["service"] = service
	c["services"] = append(c["services"].([]any), map[string]any{
		"name": "tables", "health-path": "/health", "max-connections": 234, "protocol": "h1", "tls": false,
	})
	return c
}

// train runs steps until the returned function is called, which waits for the last one.
func (d *deployment) train(groups int) (stop func()) {
	var wg sync.WaitGroup
	var stopped atomic.Bool
	wg.Go(func() {
		for n := 0; !stopped.Load(); n++ {
			version := uint64(n + 1)
			d.runStep(n, max(1, version-1), groups, func(id string) { d.batch.Store(&id) })
			time.Sleep(time.Second)
			d.put(names["version"]+model, map[string]any{"model": model, "version": version + 1})
		}
	})
	return func() {
		stopped.Store(true)
		wg.Wait()
	}
}

// press opens a connection for each of many clients to a machine. Each client sends a request, keeps
// the connection, which is idle for less than four fifths of idle-timeout-ms, and closes it.
func (d *deployment) press(m *machine) {
	began := time.Now()
	var wg sync.WaitGroup
	var opened, answered atomic.Int64
	for i := range callers {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, frontPort), time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			opened.Add(1)
			_ = c.SetReadDeadline(time.Now().Add(800 * time.Millisecond))
			fmt.Fprintf(c, "POST /orders/x HTTP/1.1\r\nHost: %s\r\n%s: press%06d\r\n%s: 800\r\nContent-Length: 4\r\n\r\nhide", host, names["id"], i, names["deadline"])
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				answered.Add(1)
				_ = res.Body.Close()
			}
			time.Sleep(pressTime - time.Since(began))
		})
		time.Sleep(time.Millisecond)
	}
	d.record.line("%d clients have opened a connection to %s, %d were answered", opened.Load(), m.name, answered.Load())
	wg.Wait()
}

// probe sends requests to a machine and returns the samplers that ran them.
func (d *deployment) probe(when string, m *machine, n int) []string {
	var servers []string
	for range n {
		id := fmt.Sprintf("probe%06d", probes.Add(1))
		status, body, err := d.call(m, http.MethodPost, "/orders/x", id, []byte("hide"), map[string]string{names["deadline"]: "800"})
		d.record.line("%s: %s sent to %s: %d %v %s", when, id, m.name, status, err, strings.TrimSpace(string(body)))
		if server, ok := strings.CutPrefix(string(body), "answer."+id+"."); ok && status == http.StatusOK {
			servers = append(servers, server)
		}
	}
	return servers
}

var probes atomic.Int64

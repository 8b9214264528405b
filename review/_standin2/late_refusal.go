package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// deskConfiguration has one route of idempotent requests, each of which may be sent to one sampler.
const deskConfiguration = `{"version":7,"routes":[
{"name":"r-desk","host":"` + host + `","prefix":"/gono990/","kind":"idempotent","timeout-ms":800,"target-latency-ms":150,"priority":2,"service":"wuno96b","max-attempts":1}],
"services":[{"name":"wuno96b","health-path":"/health","max-connections":234,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":33554432,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// Doses of the disruption, as in the site file: garble, "extra late".
const (
	garbledSamplers = 0.6
	garbledAnswers  = 0.03
	mostLate        = 30 * time.Millisecond
)

// desk is a stand-in of a plain sampler. It serves one request at a time on a connection, refuses
// what comes while its slots are taken, and may send an answer a second time a moment later.
type desk struct {
	id      string
	slots   int64
	garbled bool
	log     *record
	ln      net.Listener
	running atomic.Int64
	refused atomic.Int64
	late    atomic.Int64

	mu   sync.Mutex
	runs map[string]int
}

func (d *desk) serve() {
	for {
		c, err := d.ln.Accept()
		if err != nil {
			return
		}
		go d.serveConn(c)
	}
}

func (d *desk) serveConn(c net.Conn) {
	defer c.Close()
	var writing sync.Mutex
	write := func(answer string) error {
		writing.Lock()
		defer writing.Unlock()
		_, err := c.Write([]byte(answer))
		return err
	}
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer := d.answer(r)
		if write(answer) != nil {
			return
		}
		if d.garbled && rand.Float64() < garbledAnswers {
			d.late.Add(1)
			time.AfterFunc(time.Duration(rand.Int64N(int64(mostLate))), func() { _ = write(answer) })
		}
	}
}

// answer runs or refuses a request.
func (d *desk) answer(r *http.Request) string {
	id := r.Header.Get(names["request_id"])
	head := names["request_id"] + ": " + id + "\r\nKeep-Alive: timeout=15\r\n"
	if want := r.Header.Get(names["expect_instance"]); want != "" && want != d.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	if r.URL.Path == "/health" {
		return "HTTP/1.1 200 OK\r\nInstance-Id: " + d.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	if d.running.Add(1) > d.slots {
		d.running.Add(-1)
		d.refused.Add(1)
		return "HTTP/1.1 503 Service Unavailable\r\n" + head + names["not_run"] + ": 1\r\n" + d.load() + "Content-Length: 0\r\n\r\n"
	}
	d.mu.Lock()
	d.runs[id]++
	d.mu.Unlock()
	d.log.add("run %s id=%s", d.id, id)
	time.Sleep(time.Duration(15+rand.IntN(20)) * time.Millisecond)
	d.running.Add(-1)
	body := "answer." + id
	return "HTTP/1.1 200 OK\r\n" + head + names["stamp"] + ": stamp." + d.id + "." + id + "\r\n" + d.load() +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func (d *desk) load() string {
	return fmt.Sprintf("Server-Load: %d,0,%d\r\n", d.running.Load(), d.slots)
}

// others are callers beside the product: they take some of the slots, now more and now fewer.
func (d *desk) others(stop chan struct{}) {
	for range d.slots - 1 {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(40)) * time.Millisecond):
				}
				if d.running.Add(1) <= d.slots {
					time.Sleep(time.Duration(15+rand.IntN(60)) * time.Millisecond)
				}
				d.running.Add(-1)
			}
		}()
	}
}

// lateRefusal: busy samplers refuse some requests; a few of their answers come a second time, late.
func lateRefusal(log *record, trouble bool) ([]string, error) {
	s, err := newSystem(log)
	if err != nil {
		return nil, err
	}
	defer s.close(false)
	s.store.put(names["config"], []byte(deskConfiguration))
	zones := []string{"mechelen-a", "mechelen-b", "antwerpen-a"}
	var desks []*desk
	for i := range 10 {
		d := &desk{
			id: fmt.Sprintf("i-51d0b3a%d", i), slots: 6, log: log, runs: map[string]int{},
			garbled: trouble && float64(i) < garbledSamplers*10-0.001,
		}
		if d.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		defer d.ln.Close()
		desks = append(desks, d)
		go d.serve()
		d.others(s.stop)
		born := time.Now().UnixMilli()
		go func() {
			for n := 1; ; n++ {
				s.store.put(names["servers"]+d.id, fmt.Appendf(nil, `{"service":"wuno96b","address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-remaining-ms":0,"born":%d,"sequence":%d}`,
					d.ln.Addr().String(), zones[i%3], d.slots, born, n))
				select {
				case <-s.stop:
					return
				case <-time.After(1200 * time.Millisecond):
				}
			}
		}()
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

	var wg sync.WaitGroup
	var sent atomic.Int64
	var mu sync.Mutex
	answers := map[string]int{}
	status := map[string]string{}
	stop := time.Now().Add(85 * time.Second)
	for client := range 48 {
		wg.Go(func() {
			n := s.nodes[client%len(s.nodes)]
			transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
			for k := 0; time.Now().Before(stop); k++ {
				id := fmt.Sprintf("%04x%012x", client, k)
				ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
				req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.front+"/gono990/"+id, nil)
				req.Host = host
				req.Header.Set(names["request_id"], id)
				req.Header.Set(names["deadline"], "800")
				sent.Add(1)
				outcome := "no answer"
				if res, err := transport.RoundTrip(req); err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
					outcome = fmt.Sprint(res.StatusCode)
				}
				cancel()
				log.add("answer %s at %s: %s", id, n.name, outcome)
				mu.Lock()
				answers[outcome]++
				status[id] = outcome
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	at := map[string]int{}
	refused, late := int64(0), int64(0)
	for _, d := range desks {
		d.mu.Lock()
		for id := range d.runs {
			at[id]++
		}
		d.mu.Unlock()
		refused += d.refused.Load()
		late += d.late.Load()
	}
	over, promised := 0, 0
	for id, n := range at {
		if n > 1 {
			over++
			log.add("%s ran at %d samplers, answered %s", id, n, status[id])
		}
		if status[id] == "503" || status[id] == "429" {
			promised++
			log.add("%s ran, answered %s", id, status[id])
		}
	}
	log.add("%d requests, answers %v; samplers refused %d times and sent %d answers again; %d requests ran at more than one sampler, %d ran and were answered 429 or 503",
		sent.Load(), answers, refused, late, over, promised)
	if over > 3 {
		return []string{fmt.Sprintf("BUDGET: %d requests ran at more samplers than max-attempts (1)", over)}, nil
	}
	return nil, nil
}

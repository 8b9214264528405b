package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// sampler is a model sampler, or a plain one if it has no slots for streams.
type sampler struct {
	d       *deployment
	id      string
	service string
	zone    string
	slots   int
	engine  bool
	// eventTime is the time between two events.
	eventTime time.Duration
	// events is the number of events of each stream; 0 means eventCount.
	events int
	// work is the time that a plain request takes.
	work time.Duration

	server *http.Server
	addr   string

	mu       sync.Mutex
	conns    map[net.Conn]bool
	version  uint64
	sequence uint64
	beats    uint64
	busy     bool
	running  int
	isDown   bool
	born     int64
}

// eventCount returns how many events an item has.
func eventCount(item string) int {
	n := 0
	for _, c := range item {
		n = n*31 + int(c)
	}
	return 8 + (n&0xffff)%20
}

// addSampler starts a sampler at a new address.
func (d *deployment) addSampler(service string, engine bool, slots int, version uint64) (*sampler, error) {
	d.mu.Lock()
	d.lastIP++
	ip := d.lastIP
	d.mu.Unlock()
	s := &sampler{
		d:         d,
		id:        fmt.Sprintf("i-%s-%d", service, ip),
		service:   service,
		zone:      zones[ip%len(zones)],
		slots:     slots,
		engine:    engine,
		eventTime: 20 * time.Millisecond,
		work:      30 * time.Millisecond,
		conns:     make(map[net.Conn]bool),
		version:   version,
		born:      time.Now().UnixMilli(),
	}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", d.network, ip))
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	s.server = &http.Server{
		Handler: s,
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if state == http.StateClosed {
				delete(s.conns, c)
				return
			}
			s.conns[c] = true
		},
	}
	go func() { _ = s.server.Serve(ln) }()
	d.mu.Lock()
	d.samplers = append(d.samplers, s)
	d.mu.Unlock()
	go s.beat()
	return s, nil
}

// down makes the sampler crash: its connections are reset and its port is closed.
func (s *sampler) down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return
	}
	s.isDown = true
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	go func() { _ = s.server.Close() }()
}

// beat writes the sampler's entry until it is down; the entry is removed after three missing beats.
func (s *sampler) beat() {
	for {
		s.mu.Lock()
		s.beats++
		isDown := s.isDown
		s.mu.Unlock()
		if isDown {
			break
		}
		s.writeEntry()
		select {
		case <-s.d.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
	time.Sleep(2400 * time.Millisecond)
	s.d.remove(names["servers"] + s.id)
}

func (s *sampler) models() []map[string]any {
	if !s.engine {
		return nil
	}
	return []map[string]any{{"name": model, "version": s.version, "adapters": []string{}}}
}

func (s *sampler) writeEntry() {
	s.mu.Lock()
	entry := map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold-remaining-ms": 0, "stage": "both", "models": s.models(), "sequence": s.beats, "born": s.born,
	}
	isDown := s.isDown
	s.mu.Unlock()
	if !isDown {
		s.d.put(names["servers"]+s.id, entry)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements http.Handler.
func (s *sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(names["expect"]); want != "" && want != s.id {
		w.Header().Set(names["instance"], s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case names["order"]:
		s.order(w, r)
		return
	case names["report"]:
		s.mu.Lock()
		report := map[string]any{
			"stage": "both", "models": s.models(), "busy": s.busy, "sequence": s.sequence, "waiting": 0, "running": s.running,
			"kv-cache-used": 0, "kv-cache-total": 100140, "handles": 0,
		}
		s.mu.Unlock()
		writeJSON(w, report)
		return
	case "/health":
		w.Header().Set(names["instance"], s.id)
		return
	}
	id := r.Header.Get(names["id"])
	if id == "" {
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(names["id"], id)
	s.mu.Lock()
	w.Header().Set(names["load"], fmt.Sprintf("%d,0,%d", s.running, s.slots))
	if s.busy || s.running >= s.slots {
		s.mu.Unlock()
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	version := s.version
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if !s.engine {
		s.d.record.line("sampler %s runs %s %s %s", s.id, r.Method, r.URL.Path, id)
		if !wait(r, s.work) {
			return
		}
		w.Header().Set(names["stamp"], "stamp."+id)
		_, _ = fmt.Fprintf(w, "answer.%s.%s", id, s.id)
		return
	}
	s.stream(w, r, id, version)
}

// wait waits unless the request ends before.
func wait(r *http.Request, t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-r.Context().Done():
		return false
	}
}

// stream sends the events of an item. The data of each names the version that made it.
func (s *sampler) stream(w http.ResponseWriter, r *http.Request, item string, version uint64) {
	after, _ := strconv.Atoi(r.Header.Get(names["last"]))
	if !wait(r, 4*time.Millisecond) {
		return
	}
	s.d.record.line("sampler %s runs item %s after event %d with version %d", s.id, item, after, version)
	w.Header().Set(names["stamp"], "stamp."+item)
	w.Header().Set(names["versions"], strconv.FormatUint(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Keep-Alive", "timeout=10")
	out := http.NewResponseController(w)
	events := s.events
	if events == 0 {
		events = eventCount(item)
	}
	for n := after + 1; n <= events; n++ {
		if !wait(r, s.eventTime) {
			return
		}
		if s.isGone() {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s event %d version %d\n\n", n, item, n, version)
		if out.Flush() != nil {
			return
		}
	}
}

func (s *sampler) isGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown
}

// order begins to load a version. Requests that run finish first.
func (s *sampler) order(w http.ResponseWriter, r *http.Request) {
	var o map[string]any
	if json.NewDecoder(r.Body).Decode(&o) != nil || o["holder"] == nil || o[names["fence"]] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	version := uint64(o["version"].(float64))
	s.mu.Lock()
	defer s.mu.Unlock()
	expected, given := o["expected"].(float64)
	switch {
	case s.version == version:
		return
	case s.busy, given && uint64(expected) != s.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.sequence++
	s.busy = true
	s.d.record.line("sampler %s is ordered to load version %d (%v)", s.id, version, o["switch-mode"])
	w.WriteHeader(http.StatusAccepted)
	go s.load(version)
}

func (s *sampler) load(version uint64) {
	for {
		s.mu.Lock()
		running := s.running
		s.mu.Unlock()
		if running == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(900 * time.Millisecond)
	s.mu.Lock()
	s.version, s.busy = version, false
	s.mu.Unlock()
	s.writeEntry()
}

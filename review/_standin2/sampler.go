package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a sampler.
type run struct {
	id, sampler, path string
	after             int
	began, ended      time.Time
	events            int
	// outcome is "finished", "failed" or "broken off".
	outcome string
}

// sampler is a stand-in of a sampler, or of a plain service if it has no models. It does what
// PROTOCOL.md says and no more.
type sampler struct {
	id, service, zone string
	slots             int
	models            bool
	// interval is the time between two events, or that of a plain request.
	interval time.Duration
	// events is the number of events of each text.
	events int
	// misbehave may answer a plain request in place of the sampler, over the raw connection.
	misbehave func(s *sampler, w http.ResponseWriter, r *http.Request, body []byte) bool

	log    *record
	ln     net.Listener
	server *http.Server
	born   int64

	mu       sync.Mutex
	versions map[string]uint64
	sequence uint64
	loading  bool
	running  int
	runs     []*run
	beats    int
	// draining says that the sampler reports that it drains, left that it has left.
	draining, left bool
}

// start listens on a free port.
func (s *sampler) start() error {
	var err error
	if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(s.ln) }()
	return nil
}

func (s *sampler) address() string { return s.ln.Addr().String() }

// entry is the entry of the sampler in the platform's store.
func (s *sampler) entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	e := map[string]any{
		"service": s.service, "address": s.address(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "cold-remaining-ms": 0, "sequence": s.beats, "born": s.born,
	}
	if s.draining {
		e["state"] = "draining"
	}
	if s.models {
		e["stage"] = "both"
		e["models"] = s.modelList()
	}
	b, _ := json.Marshal(e)
	return b
}

func (s *sampler) modelList() []map[string]any {
	list := []map[string]any{}
	for name, v := range s.versions {
		list = append(list, map[string]any{"name": name, "version": v, "adapters": []string{}})
	}
	return list
}

func (s *sampler) version(model string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[model]
}

func (s *sampler) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", s.running, s.slots)
}

// ServeHTTP implements http.Handler.
func (s *sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(names["request_id"]); id != "" {
		w.Header().Set(names["request_id"], id)
	}
	if want := r.Header.Get(names["expect_instance"]); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case names["report"]:
		s.report(w)
	case names["order"]:
		s.order(w, r)
	case "/health":
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
	default:
		s.request(w, r)
	}
}

func (s *sampler) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": s.modelList(), "busy": s.loading, "sequence": s.sequence, "born": s.born,
		"waiting": 0, "running": s.running, "kv-cache-used": 0, "kv-cache-total": 100140, "handles": 0,
	})
}

// order takes an order for a version. The load takes 0.9 s, and running texts go on.
func (s *sampler) order(w http.ResponseWriter, r *http.Request) {
	var fields map[string]json.RawMessage
	if json.NewDecoder(r.Body).Decode(&fields) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var o struct {
		Operation, Model, Holder string
		Version, Fence           uint64
		Expected                 *uint64
	}
	for name, into := range map[string]any{
		"operation": &o.Operation, "model": &o.Model, "version": &o.Version, "holder": &o.Holder,
		names["fence"]: &o.Fence, "expected": &o.Expected,
	} {
		_ = json.Unmarshal(fields[name], into)
	}
	if o.Operation != "version" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.versions[o.Model] == o.Version:
		w.WriteHeader(http.StatusOK)
		return
	case s.loading, o.Expected != nil && *o.Expected != s.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.sequence++
	s.loading = true
	s.log.add("order %s model=%s version=%d holder=%s", s.id, o.Model, o.Version, o.Holder)
	time.AfterFunc(900*time.Millisecond, func() {
		s.mu.Lock()
		s.loading = false
		s.versions[o.Model] = o.Version
		s.mu.Unlock()
		s.log.add("loaded %s model=%s version=%d", s.id, o.Model, o.Version)
	})
	w.WriteHeader(http.StatusAccepted)
}

// request runs a request.
func (s *sampler) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["request_id"])
	if id == "" {
		w.Header().Set(names["not_run"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	model := r.Header.Get("Model")
	if want := r.Header.Get("Expect-Version"); want != "" && s.models && want != strconv.FormatUint(s.version(model), 10) {
		s.log.add("421 %s id=%s expect-version=%s has=%d", s.id, id, want, s.version(model))
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.misbehave != nil && s.misbehave(s, w, r, body) {
		return
	}
	s.mu.Lock()
	if s.running >= s.slots || s.models && s.loading {
		s.mu.Unlock()
		w.Header().Set(names["not_run"], "1")
		w.Header().Set("Server-Load", s.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	ru := s.begin(id, r)
	h := w.Header()
	h.Set(names["stamp"], "stamp."+s.id+"."+id)
	h.Set("Server-Load", s.load())
	h.Set("Keep-Alive", "timeout=15")
	if s.models {
		s.stream(w, r, ru, model)
		return
	}
	select {
	case <-time.After(s.interval):
	case <-r.Context().Done():
		s.end(ru, "broken off")
		return
	}
	s.end(ru, "finished")
	_, _ = w.Write([]byte("answer." + id))
}

func (s *sampler) begin(id string, r *http.Request) *run {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	ru := &run{id: id, sampler: s.id, path: r.URL.RequestURI(), after: after, began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, ru)
	s.mu.Unlock()
	s.log.add("run %s id=%s path=%s after=%d", s.id, id, ru.path, after)
	return ru
}

func (s *sampler) end(ru *run, outcome string) {
	s.mu.Lock()
	ru.ended, ru.outcome = time.Now(), outcome
	events := ru.events
	s.mu.Unlock()
	s.log.add("end %s id=%s events=%d %s", s.id, ru.id, events, outcome)
}

// stream sends the events of a text.
func (s *sampler) stream(w http.ResponseWriter, r *http.Request, ru *run, model string) {
	version := s.version(model)
	w.Header().Set(names["versions"], strconv.FormatUint(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := ru.after + 1; n <= s.events; n++ {
		select {
		case <-time.After(s.interval):
		case <-r.Context().Done():
			s.end(ru, "broken off")
			return
		}
		var event bytes.Buffer
		if v := s.version(model); v != version {
			version = v
			fmt.Fprintf(&event, "weight-versions: %d\n", v)
		}
		fmt.Fprintf(&event, "id: %d\ndata: %s\n\n", n, eventText(ru.id, n))
		if _, err := w.Write(event.Bytes()); err != nil || out.Flush() != nil {
			s.end(ru, "broken off")
			return
		}
		s.mu.Lock()
		ru.events = n
		s.mu.Unlock()
	}
	s.end(ru, "finished")
}

// eventText is the text of event n of a request; any sampler can go on with it.
func eventText(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// fullText is the whole text of an item.
func fullText(id string, events int) string {
	list := make([]string, 0, events)
	for n := 1; n <= events; n++ {
		list = append(list, eventText(id, n))
	}
	return strings.Join(list, "\n")
}

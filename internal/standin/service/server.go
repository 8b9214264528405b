package service

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/outside/roster"
	"github.com/egretbend/egretbend/internal/route/relay"
	"github.com/egretbend/egretbend/internal/standin/fault"
)

// Settings are the properties of a service instance.
type Settings struct {
	ID            string `json:"id"`
	Group         string `json:"group" need:"true"`
	FailureDomain string `json:"failure_domain"`
	Slots         int    `json:"slots" default:"8" min:"1"`
	Queue         int    `json:"queue" default:"8" min:"0"`
	// WorkMS is the mean time of a request, in milliseconds.
	WorkMS float64 `json:"work_ms" default:"20" min:"0"`
}

// Faults are what can be wrong with a service. Shares are of requests.
type Faults struct {
	SlowFactor float64 `json:"slow_factor"`
	// RefuseShare is refused with the word that it was not run.
	RefuseShare float64 `json:"refuse_share"`
	// BareShare is run and then answered with a bare 503.
	BareShare float64 `json:"bare_share"`
	// ResetShare is run and its connection then reset.
	ResetShare float64 `json:"reset_share"`
	// CutShare is run and its answer cut short.
	CutShare float64 `json:"cut_share"`
	// CrossShare is run and answered with the answer to another request.
	CrossShare float64 `json:"cross_share"`
}

// Order is the body of a request.
type Order struct {
	OrderID string `json:"order_id"`
	Detail  string `json:"detail"`
}

// Answer is the body of an answer.
type Answer struct {
	OrderID string `json:"order_id"`
	Detail  string `json:"detail"`
	By      string `json:"by"`
	// Check is a hash over the order, so that a mixed up answer shows.
	Check string `json:"check"`
}

// RecordPrefix begins the line of a run in the record.
const RecordPrefix = "run="

// Check returns the check of an order's answer.
func Check(o Order) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(o.OrderID+"|"+o.Detail))
}

// Server is the stand-in. Its zero value needs a Timer and Settings.
type Server struct {
	Timer    timer.Service
	Settings Settings
	Address  string
	Faults   fault.Door[Faults]
	// Record gets a line for each run, so that the runs of a process that is
	// killed are known as well; nil records nothing.
	Record io.Writer

	mu          sync.Mutex
	running     int
	waiting     []chan struct{}
	leaving     bool
	incarnation uint64
	runs        map[string]int
	last        Answer
	turn        uint64
}

// Handler returns the doors of the service.
func (s *Server) Handler() http.Handler {
	s.mu.Lock()
	s.incarnation = uint64(time.Now().UnixMilli())
	s.runs = make(map[string]int)
	s.mu.Unlock()
	mux := http.NewServeMux()
	mux.Handle(fault.Path, &s.Faults)
	mux.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.report())
	})
	mux.HandleFunc("/runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Runs())
	})
	mux.HandleFunc("/leave", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.leaving = true
		s.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/", s.order)
	return mux
}

// Runs returns how often each order was run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Instance returns the service as the instance list names it.
func (s *Server) Instance() (roster.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return roster.Instance{
		ID:            s.Settings.ID,
		Group:         s.Settings.Group,
		Address:       s.Address,
		FailureDomain: s.Settings.FailureDomain,
		Incarnation:   s.incarnation,
		Leaving:       s.leaving,
	}, true
}

func (s *Server) report() engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Report{
		Running:     s.running,
		Waiting:     len(s.waiting),
		Slots:       s.Settings.Slots,
		Incarnation: s.incarnation,
		Leaving:     s.leaving,
	}
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &o) != nil {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get(relay.HeaderAttempt)
	draw := s.dice(attempt)
	f := s.Faults.Get()
	if draw() < f.RefuseShare || !s.enter(r) {
		w.Header().Set(relay.HeaderAttempt, attempt)
		w.Header().Set(engine.HeaderNotRun, "1")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	answer := s.run(o, f, draw)
	s.answer(w, r, answer, f, draw)
}

func (s *Server) dice(seed string) func() float64 {
	s.mu.Lock()
	s.turn++
	dice := xxhash.Sum64String(fmt.Sprint(seed, s.Settings.ID, s.turn))
	s.mu.Unlock()
	return func() float64 {
		dice = dice*6364136223846793005 + 1442695040888963407
		return float64(dice>>11) / (1 << 53)
	}
}

// enter takes a slot, or waits for one in the queue.
func (s *Server) enter(r *http.Request) bool {
	s.mu.Lock()
	if s.leaving || (s.running >= s.Settings.Slots && len(s.waiting) >= s.Settings.Queue) {
		s.mu.Unlock()
		return false
	}
	if s.running < s.Settings.Slots {
		s.running++
		s.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-r.Context().Done():
		return s.abandon(turn)
	}
}

// abandon gives up a place in the queue. It reports true if the slot came in
// the same moment, and then must be used.
func (s *Server) abandon(turn chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range s.waiting {
		if t == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return false
		}
	}
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

func (s *Server) run(o Order, f Faults, draw func() float64) Answer {
	work := s.Settings.WorkMS * -math.Log(1-draw())
	if f.SlowFactor > 0 {
		work *= f.SlowFactor
	}
	timer.Wait(s.Timer, time.Duration(work*float64(time.Millisecond)), nil)
	answer := Answer{
		OrderID: o.OrderID,
		Detail:  o.Detail,
		By:      s.Settings.ID,
		Check:   Check(o),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[o.OrderID]++
	if s.Record != nil {
		fmt.Fprintln(s.Record, RecordPrefix+o.OrderID)
	}
	return answer
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, answer Answer, f Faults, draw func() float64) {
	attempt := r.Header.Get(relay.HeaderAttempt)
	s.mu.Lock()
	last := s.last
	s.last = answer
	s.mu.Unlock()
	switch {
	case draw() < f.BareShare:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case draw() < f.ResetShare:
		panic(http.ErrAbortHandler)
	case draw() < f.CrossShare:
		answer = last
		attempt = strings.ToUpper(attempt) + "x"
	}
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	report := s.report()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(relay.HeaderAttempt, attempt)
	w.Header().Set(relay.HeaderLoad, fmt.Sprintf("%d,%d,%d", report.Running, report.Waiting, report.Slots))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if draw() < f.CutShare {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

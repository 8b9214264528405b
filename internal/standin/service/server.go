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

// Settings holds the properties of a service instance.
type Settings struct {
	ID            string `json:"id"`
	Group         string `json:"group" need:"true"`
	FailureDomain string `json:"failure_domain"`
	// Slots is the number of requests that run at the same time.
	Slots int `json:"slots" default:"8" min:"1"`
	// Queue is the number of requests that may wait for a slot.
	Queue int `json:"queue" default:"8" min:"0"`
	// WorkMS is the mean of the exponentially distributed time of a request, in
	// milliseconds.
	WorkMS float64 `json:"work_ms" default:"20" min:"0"`
}

// Faults holds the failures that can be injected into a service. Each share is a
// fraction of the requests.
type Faults struct {
	// SlowFactor scales the time of every request; 0 leaves it unchanged.
	SlowFactor float64 `json:"slow_factor"`
	// RefuseShare is the share refused with status 503 and engine.HeaderNotRun.
	RefuseShare float64 `json:"refuse_share"`
	// BareUnavailableShare is the share that is run and then answered with status 503,
	// without the headers that tell whether it was run.
	BareUnavailableShare float64 `json:"bare_share"`
	// ResetShare is the share that is run and whose connection is then reset.
	ResetShare float64 `json:"reset_share"`
	// CutShare is the share that is run and whose connection is reset after half of the
	// answer.
	CutShare float64 `json:"cut_share"`
	// WrongAnswerShare is the share that is run and answered with the previous answer and
	// the ID of another attempt.
	WrongAnswerShare float64 `json:"cross_share"`
}

// Order is the JSON body of a request.
type Order struct {
	OrderID string `json:"order_id"`
	Detail  string `json:"detail"`
}

// Answer is the JSON body of the answer to an Order.
type Answer struct {
	OrderID string `json:"order_id"`
	Detail  string `json:"detail"`
	// ServedBy is the ID of the service instance that ran the order.
	ServedBy string `json:"by"`
	// Check is a hash of the order; it shows whether the answer belongs to another order.
	Check string `json:"check"`
}

// RunLogPrefix is the prefix of each line that is written to Server.RunLog; the
// order ID follows.
const RunLogPrefix = "run="

// Check returns the value of Answer.Check for an order.
func Check(o Order) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(o.OrderID+"|"+o.Detail))
}

// Server is a simulated plain service. It needs a Timer and Settings.
type Server struct {
	Timer    timer.Service
	Settings Settings
	// Address is the address that Instance reports.
	Address string
	Faults  fault.Endpoint[Faults]
	// RunLog receives a line for each run, so that the runs of a process that is
	// killed are known as well; nil writes nothing.
	RunLog io.Writer

	mu      sync.Mutex
	running int
	// waiting holds a channel for each queued request, which is closed when the
	// request gets a slot.
	waiting     []chan struct{}
	leaving     bool
	incarnation uint64
	// runs holds the number of runs by order ID.
	runs       map[string]int
	lastAnswer Answer
	// randomSources is the number of calls of newRandom.
	randomSources uint64
}

// Handler returns the handler of the HTTP endpoints of the service. Every path
// without an endpoint of its own accepts orders.
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

// Runs returns the number of runs by order ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Instance returns the entry of the service for the instance list, and true, as
// the service is always up.
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

func (s *Server) report() engine.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.LoadReport{
		Running:     s.running,
		Waiting:     len(s.waiting),
		Slots:       s.Settings.Slots,
		Incarnation: s.incarnation,
		Leaving:     s.leaving,
	}
}

// order runs an order and answers it, subject to the faults.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &o) != nil {
		http.Error(w, "the body is not a valid order", http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get(relay.HeaderAttempt)
	random := s.newRandom(attempt)
	f := s.Faults.Get()
	if random() < f.RefuseShare || !s.acquire(r) {
		w.Header().Set(relay.HeaderAttempt, attempt)
		w.Header().Set(engine.HeaderNotRun, "1")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	answer := s.run(o, f, random)
	s.writeAnswer(w, r, answer, f, random)
}

// newRandom returns a generator of numbers in [0, 1). Its state derives from seed,
// the ID of the service and the number of calls so far.
func (s *Server) newRandom(seed string) func() float64 {
	s.mu.Lock()
	s.randomSources++
	state := xxhash.Sum64String(fmt.Sprint(seed, s.Settings.ID, s.randomSources))
	s.mu.Unlock()
	return func() float64 {
		state = state*6364136223846793005 + 1442695040888963407
		return float64(state>>11) / (1 << 53)
	}
}

// acquire takes a slot, or waits for one in the queue. It reports false if the
// service is draining, the queue is full or the request is cancelled.
func (s *Server) acquire(r *http.Request) bool {
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
	ready := make(chan struct{})
	s.waiting = append(s.waiting, ready)
	s.mu.Unlock()
	select {
	case <-ready:
		return true
	case <-r.Context().Done():
		return s.stopWaiting(ready)
	}
}

// stopWaiting removes a request from the queue. It reports true if the request
// got a slot before it was removed; the caller then holds the slot.
func (s *Server) stopWaiting(ready chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, queued := range s.waiting {
		if queued == ready {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return false
		}
	}
	return true
}

// release passes the slot on to the next request in the queue, or frees it.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// run waits for the time that the order takes, records the run and returns its
// answer.
func (s *Server) run(o Order, f Faults, random func() float64) Answer {
	work := s.Settings.WorkMS * -math.Log(1-random())
	if f.SlowFactor > 0 {
		work *= f.SlowFactor
	}
	timer.Wait(s.Timer, time.Duration(work*float64(time.Millisecond)), nil)
	answer := Answer{
		OrderID:  o.OrderID,
		Detail:   o.Detail,
		ServedBy: s.Settings.ID,
		Check:    Check(o),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[o.OrderID]++
	if s.RunLog != nil {
		fmt.Fprintln(s.RunLog, RunLogPrefix+o.OrderID)
	}
	return answer
}

// writeAnswer writes the answer of an order that was run, subject to the faults.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, answer Answer, f Faults, random func() float64) {
	attempt := r.Header.Get(relay.HeaderAttempt)
	s.mu.Lock()
	last := s.lastAnswer
	s.lastAnswer = answer
	s.mu.Unlock()
	switch {
	case random() < f.BareUnavailableShare:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case random() < f.ResetShare:
		panic(http.ErrAbortHandler)
	case random() < f.WrongAnswerShare:
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
	if random() < f.CutShare {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

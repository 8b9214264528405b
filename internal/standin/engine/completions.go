package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

const (
	maxBody = 8 << 20
	// hitShare is what reading a cached prompt costs of reading a new one.
	hitShare = 0.1
	// crowding is how much longer a token takes on a full engine.
	crowding = 0.5
)

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	var body engine.Body
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	slot := s.queue.enter(body.Priority)
	cut := s.cut
	leaving := s.leaving
	s.mu.Unlock()
	if slot == nil || leaving {
		if slot != nil {
			s.release(slot)
		}
		w.Header().Set(engine.HeaderNotRun, "1")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release(slot)
	select {
	case <-slot.ready:
	case <-r.Context().Done():
		return
	case <-cut:
		panic(http.ErrAbortHandler)
	}
	g := &generation{
		s:    s,
		w:    w,
		r:    r,
		body: body,
		cut:  cut,
	}
	g.run(r.Header.Get(engine.HeaderAttempt))
}

func (s *Server) release(slot *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.leave(slot)
}

// generation is one stream.
type generation struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	body    engine.Body
	cut     chan struct{}
	attempt string
	slow    float64
	breakAt int
}

func (g *generation) run(attempt string) {
	g.attempt = attempt
	g.chooseFaults()
	if !g.wait(g.prefill()) {
		return
	}
	g.w.Header().Set("Content-Type", "text/event-stream")
	g.w.Header().Set(engine.HeaderAttempt, g.attempt)
	flusher := http.NewResponseController(g.w)
	for i := len(g.body.Resume); i < g.body.MaxTokens; i++ {
		if !g.wait(g.tokenTime()) {
			return
		}
		if g.breakAt > 0 && i >= g.breakAt {
			panic(http.ErrAbortHandler)
		}
		if g.token(i) != nil {
			return
		}
		_ = flusher.Flush()
	}
	g.end()
}

// chooseFaults decides from the attempt's name what goes wrong with it, so
// that a run can be repeated.
func (g *generation) chooseFaults() {
	f := g.s.Faults.Get()
	g.s.streams.Add(1)
	dice := xxhash.Sum64String(g.attempt + g.s.Settings.ID)
	draw := func() float64 {
		dice = dice*6364136223846793005 + 1442695040888963407
		return float64(dice>>11) / (1 << 53)
	}
	g.slow = 1
	if f.SlowFactor > 0 {
		g.slow = f.SlowFactor
	}
	if draw() < f.StraggleShare {
		g.slow *= max(1, f.StraggleFactor)
	}
	if draw() < f.BreakShare {
		g.breakAt = len(g.body.Resume) + 1 + int(draw()*float64(max(1, g.body.MaxTokens-len(g.body.Resume))))
	}
	if draw() < f.CrossShare {
		g.attempt += "x"
	}
}

func (g *generation) prefill() time.Duration {
	s := g.s
	s.mu.Lock()
	defer s.mu.Unlock()
	cost := s.Settings.PrefillMS
	s.prefills.Add(1)
	if s.cache.touch(xxhash.Sum64String(g.body.Prompt)) {
		s.hits.Add(1)
		cost *= hitShare
	}
	return time.Duration(cost * float64(time.Millisecond))
}

func (g *generation) tokenTime() time.Duration {
	s := g.s
	s.mu.Lock()
	defer s.mu.Unlock()
	full := float64(s.queue.running) / float64(max(1, s.Settings.Slots))
	cost := s.Settings.TokenMS * (1 + crowding*full) * g.slow
	stall := max(0, s.stallUntil.Sub(s.Timer.Now()))
	return stall + time.Duration(cost*float64(time.Millisecond))
}

// wait passes time and reports whether the stream goes on.
func (g *generation) wait(d time.Duration) bool {
	select {
	case <-g.cut:
		panic(http.ErrAbortHandler)
	default:
	}
	if d <= 0 {
		return g.r.Context().Err() == nil
	}
	return timer.Wait(g.s.Timer, d, g.r.Context().Done())
}

func (g *generation) token(i int) error {
	g.s.mu.Lock()
	v := g.s.version
	g.s.mu.Unlock()
	g.s.tokens.Add(1)
	e := engine.Event{
		Attempt: g.attempt,
		Choices: []engine.Choice{{
			Text:  Text(g.body.Prompt, g.body.Seed, i, v),
			Index: i,
		}},
		Version: v,
	}
	if g.s.Faults.Get().NoVersion {
		e.Version = version.Version{}
	}
	return g.event(e)
}

func (g *generation) end() {
	report := g.s.report()
	_ = g.event(engine.Event{
		Attempt: g.attempt,
		Choices: []engine.Choice{{
			Finish: "length",
		}},
		Version: report.Version,
		Load:    &report,
	})
	_, _ = g.w.Write([]byte("data: [DONE]\n\n"))
}

func (g *generation) event(e engine.Event) error {
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	_, err = g.w.Write(b.Bytes())
	return err
}

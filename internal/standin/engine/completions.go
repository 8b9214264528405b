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
	// maxBodyBytes is the largest request body that the engine reads.
	maxBodyBytes = 8 << 20
	// cachedPrefillFactor scales the prefill time of a prompt that is in the cache.
	cachedPrefillFactor = 0.1
	// fullLoadSlowdown is the relative increase of the time per token when all
	// slots are in use; it grows linearly with the slots in use.
	fullLoadSlowdown = 0.5
)

// completions streams a generation as server-sent events. A request that finds
// all slots and the queue full, or the engine draining, is answered with status
// 503 and engine.HeaderNotRun.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	var body engine.CompletionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	slot := s.queue.acquire(body.Priority)
	crashed := s.crashed
	leaving := s.leaving
	s.mu.Unlock()
	if slot == nil || leaving {
		if slot != nil {
			s.releaseSlot(slot)
		}
		w.Header().Set(engine.HeaderNotRun, "1")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot(slot)
	select {
	case <-slot.ready:
	case <-r.Context().Done():
		return
	case <-crashed:
		panic(http.ErrAbortHandler)
	}
	g := &generation{
		s:       s,
		w:       w,
		r:       r,
		body:    body,
		crashed: crashed,
	}
	g.run(r.Header.Get(engine.HeaderAttempt))
}

// releaseSlot returns the slot or queue position of a request.
func (s *Server) releaseSlot(slot *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.release(slot)
}

// generation is the state of one completion stream.
type generation struct {
	s    *Server
	w    http.ResponseWriter
	r    *http.Request
	body engine.CompletionRequest
	// crashed is closed when the engine crashes.
	crashed chan struct{}
	// attempt is the attempt ID that the stream reports.
	attempt string
	// slowFactor scales the time per token.
	slowFactor float64
	// breakIndex is the index of the token before which the connection is cut; 0
	// never cuts it.
	breakIndex int
}

// run waits for the prefill and then sends the tokens after the resumed ones.
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
		if g.breakIndex > 0 && i >= g.breakIndex {
			panic(http.ErrAbortHandler)
		}
		if g.sendToken(i) != nil {
			return
		}
		_ = flusher.Flush()
	}
	g.sendFinish()
}

// chooseFaults selects the faults of the stream. The choice depends only on the
// attempt ID, the engine ID, the request and the current faults, so that a run
// can be repeated.
func (g *generation) chooseFaults() {
	f := g.s.Faults.Get()
	g.s.streams.Add(1)
	state := xxhash.Sum64String(g.attempt + g.s.Settings.ID)
	random := func() float64 {
		state = state*6364136223846793005 + 1442695040888963407
		return float64(state>>11) / (1 << 53)
	}
	g.slowFactor = 1
	if f.SlowFactor > 0 {
		g.slowFactor = f.SlowFactor
	}
	if random() < f.StragglerShare {
		g.slowFactor *= max(1, f.StragglerFactor)
	}
	if random() < f.CutShare {
		g.breakIndex = len(g.body.Resume) + 1 + int(random()*float64(max(1, g.body.MaxTokens-len(g.body.Resume))))
	}
	if random() < f.WrongAttemptShare {
		g.attempt += "x"
	}
}

// prefill adds the prompt to the cache and returns the time to read it.
func (g *generation) prefill() time.Duration {
	s := g.s
	s.mu.Lock()
	defer s.mu.Unlock()
	cost := s.Settings.PrefillMS
	s.prefills.Add(1)
	if s.cache.touch(xxhash.Sum64String(g.body.Prompt)) {
		s.hits.Add(1)
		cost *= cachedPrefillFactor
	}
	return time.Duration(cost * float64(time.Millisecond))
}

// tokenTime returns the time until the next token: the time per token at the
// present load, and the rest of a stall by a weight switch.
func (g *generation) tokenTime() time.Duration {
	s := g.s
	s.mu.Lock()
	defer s.mu.Unlock()
	occupancy := float64(s.queue.running) / float64(max(1, s.Settings.Slots))
	cost := s.Settings.TokenMS * (1 + fullLoadSlowdown*occupancy) * g.slowFactor
	stall := max(0, s.stallUntil.Sub(s.Timer.Now()))
	return stall + time.Duration(cost*float64(time.Millisecond))
}

// wait waits for d and reports whether the request is still open. It aborts the
// connection if the engine has crashed.
func (g *generation) wait(d time.Duration) bool {
	select {
	case <-g.crashed:
		panic(http.ErrAbortHandler)
	default:
	}
	if d <= 0 {
		return g.r.Context().Err() == nil
	}
	return timer.Wait(g.s.Timer, d, g.r.Context().Done())
}

// sendToken sends the token at index i, generated with the current weights.
func (g *generation) sendToken(i int) error {
	g.s.mu.Lock()
	v := g.s.version
	g.s.mu.Unlock()
	g.s.tokens.Add(1)
	e := engine.StreamEvent{
		Attempt: g.attempt,
		Choices: []engine.Choice{{
			Text:  TokenText(g.body.Prompt, g.body.Seed, i, v),
			Index: i,
		}},
		Version: v,
	}
	if g.s.Faults.Get().NoVersion {
		e.Version = version.Version{}
	}
	return g.writeEvent(e)
}

// sendFinish sends the finish reason with a load report, and the end marker.
func (g *generation) sendFinish() {
	report := g.s.report()
	_ = g.writeEvent(engine.StreamEvent{
		Attempt: g.attempt,
		Choices: []engine.Choice{{
			Finish: "length",
		}},
		Version: report.Version,
		Load:    &report,
	})
	_, _ = g.w.Write([]byte("data: [DONE]\n\n"))
}

// writeEvent writes e as one server-sent event.
func (g *generation) writeEvent(e engine.StreamEvent) error {
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

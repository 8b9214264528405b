package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"goji.io/pat"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/rollout/sample"
	"github.com/egretbend/egretbend/internal/rollout/stream"
	"github.com/egretbend/egretbend/internal/route/relay"
)

// CompletionRequest is the body of POST /v1/models/{deployment}/completions.
type CompletionRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
}

// Completion is the whole answer, and the last event of a stream.
type Completion struct {
	RequestID string        `json:"request_id"`
	Text      string        `json:"text,omitempty"`
	Tokens    int           `json:"tokens"`
	Finish    string        `json:"finish_reason"`
	Versions  []sample.Span `json:"versions"`
	Upstreams []string      `json:"upstreams"`
}

// maxTokens bounds one completion.
const maxTokens = 1 << 20

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	deployment := pat.Param(r, "deployment")
	e, err := s.open(r, deployment)
	if err != nil {
		problem.Write(w, err)
		return
	}
	w.Header().Set(relay.HeaderRequestID, e.requestID)
	var body CompletionRequest
	if err := problem.ReadJSON(w, r, maxBody, &body); err != nil {
		problem.Write(w, err)
		return
	}
	if body.Prompt == "" || body.MaxTokens < 1 || body.MaxTokens > maxTokens {
		problem.Write(w, problem.BadRequest.Withf("expected a prompt and max_tokens from 1 to %d", maxTokens))
		return
	}
	ctx, cancel := e.context(r.Context())
	defer cancel()
	out := &completion{
		w:      w,
		stream: body.Stream,
	}
	task := stream.Task{
		RequestID:  e.requestID,
		Caller:     e.caller,
		Class:      e.class,
		Weight:     e.weight,
		Deployment: deployment,
		Prompt:     body.Prompt,
		MaxTokens:  body.MaxTokens,
		Seed:       body.Seed,
	}
	trip, err := s.Generator.Enter(task)
	if err != nil {
		problem.Write(w, err)
		return
	}
	finish, err := s.Generator.Run(ctx, trip, task, out.token)
	if err != nil {
		out.fail(err)
		return
	}
	out.finish(Completion{
		RequestID: e.requestID,
		Tokens:    len(out.rec.Texts),
		Finish:    finish.Reason,
		Versions:  out.rec.Spans,
		Upstreams: finish.Upstreams,
	})
}

// completion writes one answer, streamed or whole.
type completion struct {
	w      http.ResponseWriter
	stream bool
	began  bool
	rec    sample.Recorder
}

// tokenEvent is one event of a streamed completion.
type tokenEvent struct {
	Index   int    `json:"token_index"`
	Text    string `json:"text"`
	Version string `json:"weight_version"`
}

func (c *completion) token(t engine.Token) error {
	if err := c.rec.Add(t); err != nil {
		return err
	}
	if !c.stream {
		return nil
	}
	if !c.began {
		c.began = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.WriteHeader(http.StatusOK)
	}
	return c.event(tokenEvent{
		Index:   t.Index,
		Text:    t.Text,
		Version: t.Version.String(),
	})
}

func (c *completion) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.w, "data: %s\n\n", data); err != nil {
		return err
	}
	flush(c.w)
	return nil
}

func (c *completion) finish(body Completion) {
	if !c.stream {
		body.Text = strings.Join(c.rec.Texts, "")
		problem.WriteJSON(c.w, http.StatusOK, body)
		return
	}
	if err := c.event(body); err != nil {
		return
	}
	_, _ = fmt.Fprint(c.w, "data: [DONE]\n\n")
	flush(c.w)
}

// fail ends an answer that can't be whole. Once a stream has begun, its status
// can't be taken back; the transfer is aborted, so that no client takes what
// came so far for the whole answer.
func (c *completion) fail(err error) {
	if !c.began {
		problem.Write(c.w, err)
		return
	}
	panic(http.ErrAbortHandler)
}

func flush(w http.ResponseWriter) {
	if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return
	}
}

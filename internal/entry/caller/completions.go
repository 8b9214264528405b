package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"goji.io/pat"

	"github.com/egretbend/egretbend/internal/entry/budget"
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

// Completion is the body of a non-streamed response, and the last event of a stream.
// In a stream, Text is empty.
type Completion struct {
	RequestID string        `json:"request_id"`
	Text      string        `json:"text,omitempty"`
	Tokens    int           `json:"tokens"`
	Finish    string        `json:"finish_reason"`
	Versions  []sample.Span `json:"versions"`
	Upstreams []string      `json:"upstreams"`
}

// maxTokens is the maximum value of max_tokens in a request.
const maxTokens = 1 << 20

// completionBytes is the memory for the buffers of a completion.
const completionBytes = 16 << 10

// handleCompletion serves POST /v1/models/{deployment}/completions.
func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	deployment := pat.Param(r, "deployment")
	meta, err := s.readMetadata(r, deployment)
	if err != nil {
		problem.Write(w, err)
		return
	}
	w.Header().Set(relay.HeaderRequestID, meta.requestID)
	var body CompletionRequest
	if err := problem.ReadJSON(w, r, maxBody, &body); err != nil {
		problem.Write(w, err)
		return
	}
	if body.Prompt == "" || body.MaxTokens < 1 || body.MaxTokens > maxTokens {
		problem.Write(w, problem.BadRequest.Withf("expected a prompt and max_tokens from 1 to %d", maxTokens))
		return
	}
	if err := budget.FromContext(r.Context()).Reserve(completionBytes); err != nil {
		problem.Write(w, err)
		return
	}
	ctx, cancel := meta.context(r.Context())
	defer cancel()
	out := &completionWriter{
		w:      w,
		stream: body.Stream,
	}
	task := stream.Task{
		RequestID:    meta.requestID,
		Caller:       meta.caller,
		Priority:     meta.priority,
		Weight:       meta.weight,
		Deployment:   deployment,
		Organisation: meta.identity.organisation,
		Prompt:       body.Prompt,
		MaxTokens:    body.MaxTokens,
		Seed:         body.Seed,
	}
	admission, err := s.Generator.Admit(task)
	if err != nil {
		problem.Write(w, err)
		return
	}
	finish, err := s.Generator.Run(ctx, admission, task, out.writeToken)
	if err != nil {
		out.fail(err)
		return
	}
	out.finish(Completion{
		RequestID: meta.requestID,
		Tokens:    len(out.recorder.Texts),
		Finish:    finish.Reason,
		Versions:  out.recorder.Spans,
		Upstreams: finish.Upstreams,
	})
}

// completionWriter writes one completion, either as an event stream or as one JSON body.
type completionWriter struct {
	w        http.ResponseWriter
	stream   bool
	started  bool
	recorder sample.Recorder
}

// tokenEvent is the event that carries one token of a streamed completion.
type tokenEvent struct {
	Index   int    `json:"token_index"`
	Text    string `json:"text"`
	Version string `json:"weight_version"`
}

// writeToken records a token and, if the completion is streamed, sends it as an event.
func (c *completionWriter) writeToken(t engine.Token) error {
	if err := c.recorder.Add(t); err != nil {
		return err
	}
	if !c.stream {
		return nil
	}
	if !c.started {
		c.started = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.WriteHeader(http.StatusOK)
	}
	return c.writeEvent(tokenEvent{
		Index:   t.Index,
		Text:    t.Text,
		Version: t.Version.String(),
	})
}

func (c *completionWriter) writeEvent(v any) error {
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

func (c *completionWriter) finish(body Completion) {
	if !c.stream {
		body.Text = strings.Join(c.recorder.Texts, "")
		problem.WriteJSON(c.w, http.StatusOK, body)
		return
	}
	if err := c.writeEvent(body); err != nil {
		return
	}
	_, _ = fmt.Fprint(c.w, "data: [DONE]\n\n")
	flush(c.w)
}

// fail ends a completion that can't be finished. Once a stream has started, its
// status can't be changed, so fail aborts the connection: a client must not take a
// partial completion for a complete one.
func (c *completionWriter) fail(err error) {
	if !c.started {
		problem.Write(c.w, err)
		return
	}
	panic(http.ErrAbortHandler)
}

// flush sends buffered data to the client, if w supports it.
func flush(w http.ResponseWriter) {
	if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return
	}
}

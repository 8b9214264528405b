package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/answer"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// The paths, headers and limits of the completions protocol.
const (
	PathCompletions = "/v1/completions"
	PathLoad        = "/load"
	PathOrders      = "/orders"
	HeaderAttempt   = "Egretbend-Attempt"
	// HeaderNotRun is set on an error response by an upstream that guarantees
	// that it did not run the request. A 503 without it proves nothing.
	HeaderNotRun = "X-Not-Run"
	doneMarker   = "[DONE]"
	dataPrefix   = "data: "
	// maxEventSize is the largest event and the largest load report, in bytes.
	maxEventSize = 1 << 20
	// maxSilentBytes is how much of a stream is read without a token. It leaves room for
	// other lines beside the largest event.
	maxSilentBytes = 2 * maxEventSize
)

// CompletionRequest is the JSON body of a completion request.
type CompletionRequest struct {
	Model     string   `json:"model"`
	Prompt    string   `json:"prompt"`
	MaxTokens int      `json:"max_tokens"`
	Seed      uint64   `json:"seed"`
	Stream    bool     `json:"stream"`
	Priority  int      `json:"priority"`
	RequestID string   `json:"request_id"`
	Resume    []string `json:"resume,omitempty"`
}

// StreamEvent is the JSON data of one server-sent event.
type StreamEvent struct {
	Attempt string          `json:"attempt"`
	Choices []Choice        `json:"choices"`
	Version version.Version `json:"weight_version"`
	Load    *LoadReport     `json:"load,omitempty"`
}

// Choice is the only choice of an event: a token, or the finish reason after the last
// token.
type Choice struct {
	Text   string `json:"text"`
	Index  int    `json:"token_index"`
	Finish string `json:"finish_reason,omitempty"`
}

func init() {
	Adapters.Add("completions", &Completions{})
}

// Completions is the Adapter for the completions protocol, which streams tokens as
// server-sent events.
type Completions struct {
	Client wire.Client
}

// Generate implements Adapter.
func (c *Completions) Generate(ctx context.Context, address string, req Request, emit func(Token) error) (Finish, error) {
	// Cancelling the context on every return closes the connection of a stream
	// that was abandoned, so that it is never reused for another request.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	res, err := c.post(ctx, address, PathCompletions, req.Attempt, CompletionRequest{
		Model:     req.Model,
		Prompt:    req.Prompt,
		MaxTokens: req.MaxTokens,
		Seed:      req.Seed,
		Stream:    true,
		Priority:  req.Priority,
		RequestID: req.ID,
		Resume:    req.Resume,
	})
	if err != nil {
		return Finish{}, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return Finish{}, statusError(res)
	}
	return readStream(res.Body, req, emit)
}

// readStream reads the events of a generation, calls emit for each token, and checks
// that all tokens belong to this attempt and arrive without gaps.
func readStream(r io.Reader, req Request, emit func(Token) error) (Finish, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventSize)
	var finish Finish
	next := len(req.Resume)
	read := 0 // bytes since the last token
	for lines.Scan() {
		if read += len(lines.Bytes()) + 1; read > maxSilentBytes {
			return finish, fmt.Errorf("%w: over %d bytes without a token", ErrIncompleteResponse, maxSilentBytes)
		}
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == doneMarker {
			if finish.Reason == "" {
				return finish, fmt.Errorf("%w: no finish reason before the end", ErrIncompleteResponse)
			}
			return finish, nil
		}
		var e StreamEvent
		if err := json.Unmarshal(data, &e); err != nil {
			return finish, fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
		}
		if e.Attempt != req.Attempt {
			return finish, fmt.Errorf("%w: wanted %s, got %s", ErrWrongAttempt, req.Attempt, e.Attempt)
		}
		if e.Load != nil {
			finish.Report = e.Load
		}
		for _, choice := range e.Choices {
			if choice.Finish != "" {
				finish.Reason = choice.Finish
				continue
			}
			if choice.Index != next {
				return finish, fmt.Errorf("%w: got token %d, expected token %d", ErrIncompleteResponse, choice.Index, next)
			}
			next++
			read = 0
			if err := emit(Token{
				Index:   choice.Index,
				Text:    choice.Text,
				Version: e.Version,
			}); err != nil {
				return finish, err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return finish, fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
	}
	return finish, ErrIncompleteResponse
}

// Report implements Adapter.
func (c *Completions) Report(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathLoad, nil)
	if err != nil {
		return report, err
	}
	res, _, err := c.Client.Do(req, wire.Pooled)
	if err != nil {
		return report, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return report, fmt.Errorf("load report: status %d", res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxEventSize)).Decode(&report)
	return report, err
}

// Order implements Adapter.
func (c *Completions) Order(ctx context.Context, address string, order Order) error {
	res, err := c.post(ctx, address, PathOrders, "", order)
	if err != nil {
		return err
	}
	answer.Discard(res)
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrStaleFencingToken
	}
	return fmt.Errorf("order %s: status %d", order.Action, res.StatusCode)
}

// post sends v as JSON. Its errors are ErrNotSent when no byte of the request was
// sent, and ErrIncompleteResponse otherwise.
func (c *Completions) post(ctx context.Context, address, path, attempt string, v any) (*http.Response, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if attempt != "" {
		req.Header.Set(HeaderAttempt, attempt)
	}
	res, sent, err := c.Client.Do(req, wire.Pooled)
	if err != nil && !sent {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
	}
	return res, nil
}

// statusError returns the error for a response other than 200 OK: a RefusedError if the
// upstream guarantees that it did not run the request, otherwise ErrIncompleteResponse.
func statusError(res *http.Response) error {
	answer.Discard(res)
	if res.Header.Get(HeaderNotRun) == "" {
		return fmt.Errorf("%w: status %d", ErrIncompleteResponse, res.StatusCode)
	}
	return &RefusedError{
		RetryAfter: RetryAfter(res.Header),
	}
}

// RetryAfter returns the duration in the Retry-After header, given in whole seconds,
// or zero if the header is absent or invalid.
func RetryAfter(h http.Header) time.Duration {
	secs, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || secs < 0 {
		return 0
	}
	return time.Duration(secs) * time.Second
}

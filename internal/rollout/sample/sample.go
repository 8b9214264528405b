package sample

import (
	"errors"
	"fmt"
	"strings"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// Key names a sample within its trainer's work.
type Key struct {
	Step  uint64 `json:"step"`
	Group string `json:"group"`
	Index int    `json:"index"`
}

// String returns the key as step/group/index.
func (k Key) String() string { return fmt.Sprintf("%d/%s/%d", k.Step, k.Group, k.Index) }

// Span is a run of tokens that one weight version made.
type Span struct {
	Version    version.Version `json:"version"`
	FirstToken int             `json:"first_token"`
	LastToken  int             `json:"last_token"`
}

// Sample is a finished sample. It is never changed.
type Sample struct {
	Trainer string `json:"trainer"`
	Key
	Prompt    string   `json:"prompt"`
	Text      string   `json:"text"`
	Tokens    int      `json:"tokens"`
	Finish    string   `json:"finish_reason"`
	Versions  []Span   `json:"versions"`
	Upstreams []string `json:"upstreams"`
	RequestID string   `json:"request_id"`
}

// Oldest returns the oldest version in the record.
func (s *Sample) Oldest() version.Version {
	oldest := s.Versions[0].Version
	for _, span := range s.Versions[1:] {
		if span.Version.Less(oldest) {
			oldest = span.Version
		}
	}
	return oldest
}

// ErrNoVersion means that the engine did not say which weights made a token.
var ErrNoVersion = errors.New("the stream does not name its weight version")

// Recorder collects the tokens of one sample, over all its attempts. Its zero
// value is empty.
type Recorder struct {
	Texts []string
	Spans []Span
}

// Add takes the next token.
func (r *Recorder) Add(t engine.Token) error {
	if t.Version.Zero() {
		return ErrNoVersion
	}
	if t.Index != len(r.Texts) {
		return fmt.Errorf("token %d came in place of %d", t.Index, len(r.Texts))
	}
	r.Texts = append(r.Texts, t.Text)
	if n := len(r.Spans); n > 0 && r.Spans[n-1].Version == t.Version {
		r.Spans[n-1].LastToken = t.Index
		return nil
	}
	r.Spans = append(r.Spans, Span{
		Version:    t.Version,
		FirstToken: t.Index,
		LastToken:  t.Index,
	})
	return nil
}

// Clone returns a copy that another attempt may go on with.
func (r *Recorder) Clone() *Recorder {
	return &Recorder{
		Texts: append([]string(nil), r.Texts...),
		Spans: append([]Span(nil), r.Spans...),
	}
}

// Text returns all tokens as one text.
func (r *Recorder) Text() string { return strings.Join(r.Texts, "") }

package sample

import (
	"errors"
	"fmt"
	"strings"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// Key identifies a sample of a trainer.
type Key struct {
	Step  uint64 `json:"step"`
	Group string `json:"group"`
	// Index is the index of the sample within its group, from 0.
	Index int `json:"index"`
}

// String returns the key as step/group/index.
func (k Key) String() string { return fmt.Sprintf("%d/%s/%d", k.Step, k.Group, k.Index) }

// Span is a range of consecutive tokens that one weight version generated. Both
// ends are inclusive.
type Span struct {
	Version    version.Version `json:"version"`
	FirstToken int             `json:"first_token"`
	LastToken  int             `json:"last_token"`
}

// Sample is a finished sample. It is immutable.
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

// Oldest returns the oldest version that generated any of the tokens.
func (s *Sample) Oldest() version.Version {
	oldest := s.Versions[0].Version
	for _, span := range s.Versions[1:] {
		if span.Version.Less(oldest) {
			oldest = span.Version
		}
	}
	return oldest
}

// ErrNoVersion means that the engine did not report the weight version of a token.
var ErrNoVersion = errors.New("token has no weight version")

// Recorder collects the tokens of a sample, which may come from several attempts.
// Its zero value is empty.
type Recorder struct {
	// Texts holds the text of each token.
	Texts []string
	// Spans holds the versions that generated the tokens, without gaps.
	Spans []Span
}

// Add appends a token. It returns an error if the token has no version or is not
// the next one.
func (r *Recorder) Add(t engine.Token) error {
	if t.Version.IsZero() {
		return ErrNoVersion
	}
	if t.Index != len(r.Texts) {
		return fmt.Errorf("got token %d, expected token %d", t.Index, len(r.Texts))
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

// Clone returns a deep copy, from which another attempt can resume.
func (r *Recorder) Clone() *Recorder {
	return &Recorder{
		Texts: append([]string(nil), r.Texts...),
		Spans: append([]Span(nil), r.Spans...),
	}
}

// Text returns the concatenated texts of all tokens.
func (r *Recorder) Text() string { return strings.Join(r.Texts, "") }

package submission

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"
)

// Reward is the call that scores the finished text of an item.
type Reward struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// Item is one prompt of a batch.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Group  string            `json:"group,omitempty"`
	Model  string            `json:"model,omitempty"`
	// ExpectedTokens is the caller's estimate of the output in tokens, 0 if unknown. It
	// is right at the median and often far off.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
	// PromptTokens is the length of the prompt in tokens, and MostTokens the limit of
	// the output; 0 if unknown.
	PromptTokens int     `json:"prompt_tokens,omitempty"`
	MostTokens   int     `json:"most_tokens,omitempty"`
	Reward       *Reward `json:"reward,omitempty"`
}

// Estimate returns the estimate of the output in tokens, capped at the item's limit.
func (i Item) Estimate() int {
	if i.MostTokens > 0 {
		return min(i.ExpectedTokens, i.MostTokens)
	}
	return i.ExpectedTokens
}

// Submission is a batch as it was submitted.
type Submission struct {
	// ID is the batch's name, unique among all instances; see ScopedID.
	ID string `json:"id"`
	// Organisation is the organisation that submitted the batch; empty if requests need
	// no key.
	Organisation string `json:"organisation,omitempty"`
	// Host and Path select the route.
	Host string `json:"host"`
	Path string `json:"path"`
	Step int    `json:"step"`
	// Model is the model of a trainer's batch.
	Model string `json:"model,omitempty"`
	// OldestVersion is the oldest weight version that may generate its tokens.
	OldestVersion uint64 `json:"oldest_version,omitempty"`
	// WantedGroups is the number of whole groups that the trainer waits for.
	WantedGroups int `json:"wanted_groups,omitempty"`
	// SubmittedMS is the time of the first submission in Unix milliseconds.
	SubmittedMS int64 `json:"submitted_ms"`
	// Regions and ConfigVersion are as in Binding.
	Regions       []string `json:"regions,omitempty"`
	ConfigVersion uint64   `json:"config_version,omitempty"`
	Items         []Item   `json:"items"`
}

// ScopedID returns the name of a batch among all instances. An organisation can't reach the
// batches of another one, whatever they are called.
func ScopedID(id, organisation string) string {
	if organisation == "" {
		return id
	}
	return ScopedPrefix(id) + url.QueryEscape(organisation)
}

// ScopedPrefix returns what the names of the batches that organisations call id begin with.
func ScopedPrefix(id string) string { return url.QueryEscape(id) + "@" }

// EstimatedTokens returns the number of tokens that the batch is expected to generate.
func (s *Submission) EstimatedTokens() int64 {
	tokens := int64(0)
	for _, i := range s.Items {
		tokens += int64(i.Estimate())
	}
	return tokens
}

// Encode returns the stored form of s.
func (s *Submission) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode parses the stored form of a submission.
func Decode(data []byte) (*Submission, error) {
	s := &Submission{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("stored batch: %w; it was written by another release", err)
	}
	return s, nil
}

// Submitted returns the time of the first submission.
func (s *Submission) Submitted() time.Time { return time.UnixMilli(s.SubmittedMS) }

// State is the outcome of an item.
type State string

// The states of a result.
const (
	Completed State = "completed"
	Dead      State = "dead"
)

// Result is the outcome of a finished item.
type Result struct {
	Item     string   `json:"item"`
	State    State    `json:"state"`
	Text     string   `json:"text,omitempty"`
	Versions []uint64 `json:"versions,omitempty"`
	Score    string   `json:"score,omitempty"`
}

// JoinEvents returns the text that the events of a finished item form.
func JoinEvents(events []string) string { return strings.Join(events, "\n") }

// Progress is the output so far of an unfinished item.
type Progress struct {
	Item     string   `json:"item"`
	Events   []string `json:"events"`
	Versions []uint64 `json:"versions,omitempty"`
	// Failures is how many engines reported that they failed to run the item.
	Failures int `json:"failures,omitempty"`
}

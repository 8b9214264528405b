package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/egretbend/egretbend/internal/kernel/setting"
	"github.com/egretbend/egretbend/internal/route/organisation"
)

// Key is where the document lies in the key-value service.
const Key = "egretbend/configuration"

// HistoryLength is how many accepted changes a document names. An operator
// whose answer was lost finds the change there: at one change in ten seconds
// it reaches back an hour and a half.
const HistoryLength = 512

// Change names one accepted change.
type Change struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Note     string `json:"note,omitempty"`
	// Parent is the revision that the change was made from.
	Parent uint64 `json:"parent"`
}

// Document is the stored object. Its revision is the key-value service's and
// is not part of the stored value.
type Document struct {
	Revision      uint64          `json:"-"`
	History       []Change        `json:"history"`
	Configuration json.RawMessage `json:"configuration"`

	parsed        Configuration
	organisations organisation.Directory
}

// Parsed returns the configuration.
func (d *Document) Parsed() *Configuration { return &d.parsed }

// Organisations finds organisations by their keys.
func (d *Document) Organisations() organisation.Directory { return d.organisations }

// Encode returns the stored value.
func (d *Document) Encode() ([]byte, error) { return json.Marshal(d) }

// Decode returns the document of a stored value.
func Decode(value []byte, revision uint64) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(value, d); err != nil {
		return nil, fmt.Errorf("configuration revision %d: %w; put a valid configuration", revision, err)
	}
	d.Revision = revision
	if err := setting.Decode(d.Configuration, &d.parsed); err != nil {
		return nil, fmt.Errorf("configuration revision %d: %w", revision, err)
	}
	d.organisations = d.parsed.Directory()
	return d, nil
}

// Parse checks a configuration.
func Parse(data []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := setting.Decode(data, c); err != nil {
		return nil, err
	}
	return c, nil
}

// With returns the document that change makes of d. It has no revision yet.
func (d *Document) With(change Change, configuration []byte) *Document {
	history := append([]Change{change}, d.History...)
	if len(history) > HistoryLength {
		history = history[:HistoryLength]
	}
	return &Document{
		History:       history,
		Configuration: configuration,
	}
}

// Bare returns the document without its history, which is what instances hand
// to each other: the history is settled against the key-value service alone,
// and is several times as large as the configuration.
func (d *Document) Bare() *Document {
	bare := *d
	bare.History = nil
	return &bare
}

// Accepted looks for a change in the history and returns the revision that it
// made. A change below another one made the revision that the other one was
// made from.
func (d *Document) Accepted(id string) (uint64, bool) {
	for i, c := range d.History {
		if c.ID != id {
			continue
		}
		if i == 0 {
			return d.Revision, true
		}
		return d.History[i-1].Parent, true
	}
	return 0, false
}

package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/egretbend/egretbend/internal/kernel/setting"
	"github.com/egretbend/egretbend/internal/route/organisation"
)

// Key is the key of the document in the key-value service.
const Key = "egretbend/configuration"

// HistoryLength is the maximum number of accepted changes in a document's history.
// An operator who got no answer looks the change up there: at one change every
// ten seconds the history covers an hour and a half.
const HistoryLength = 512

// Change identifies one change of the configuration.
type Change struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Note     string `json:"note,omitempty"`
	// Parent is the revision that the change is based on.
	Parent uint64 `json:"parent"`
}

// Document is the value stored at Key: the configuration and its accepted changes,
// newest first. Revision is the key-value service's revision of the item and is
// not part of the stored value.
type Document struct {
	Revision      uint64          `json:"-"`
	History       []Change        `json:"history"`
	Configuration json.RawMessage `json:"configuration"`

	parsed        Configuration
	organisations organisation.Directory
}

// Parsed returns the decoded configuration.
func (d *Document) Parsed() *Configuration { return &d.parsed }

// Organisations returns the index of organisations by the digests of their keys.
func (d *Document) Organisations() organisation.Directory { return d.organisations }

// Encode returns the value to store.
func (d *Document) Encode() ([]byte, error) { return json.Marshal(d) }

// Decode parses and checks a stored value.
func Decode(value []byte, revision uint64) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(value, d); err != nil {
		return nil, fmt.Errorf("decode configuration revision %d: %w; put a valid configuration", revision, err)
	}
	d.Revision = revision
	if err := setting.Decode(d.Configuration, &d.parsed); err != nil {
		return nil, fmt.Errorf("check configuration revision %d: %w", revision, err)
	}
	d.organisations = d.parsed.OrganisationDirectory()
	return d, nil
}

// Parse decodes and checks a configuration.
func Parse(data []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := setting.Decode(data, c); err != nil {
		return nil, err
	}
	return c, nil
}

// WithChange returns a document with the given configuration and with change prepended to
// the history of d. It has no revision until it is stored.
func (d *Document) WithChange(change Change, configuration []byte) *Document {
	history := append([]Change{change}, d.History...)
	if len(history) > HistoryLength {
		history = history[:HistoryLength]
	}
	return &Document{
		History:       history,
		Configuration: configuration,
	}
}

// WithoutHistory returns a copy of the document without its history. Instances send each
// other this copy: changes are looked up only in the key-value service, and the
// history is several times as large as the configuration.
func (d *Document) WithoutHistory() *Document {
	bare := *d
	bare.History = nil
	return &bare
}

// AcceptedRevision returns the revision that the change with the given ID created, if the
// history contains it. The newest change created the document's own revision; any
// other created the parent revision of the next newer change.
func (d *Document) AcceptedRevision(id string) (uint64, bool) {
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

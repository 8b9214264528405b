package configuration

import (
	"sync"
	"sync/atomic"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
)

// entryKey is the one key of gossip entries of kind configuration.
const entryKey = "revision"

// Holder keeps the document in force. Its zero value holds none.
type Holder struct {
	// State hears of each new revision; nil tells nobody.
	State *gossip.State

	current atomic.Pointer[Document]
	mu      sync.Mutex
	changed chan struct{}
}

// Current returns the document in force, or nil before the first one. It is
// read on the path of a request and takes no lock.
func (h *Holder) Current() *Document { return h.current.Load() }

// Revision returns the revision in force, or zero.
func (h *Holder) Revision() uint64 {
	if d := h.Current(); d != nil {
		return d.Revision
	}
	return 0
}

// Take puts d in force unless the holder has the same or a newer revision.
// The key-value service may answer with an older one after an outage; taking
// it would undo a change that was told to an operator as accepted.
func (h *Holder) Take(d *Document) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && old.Revision >= d.Revision {
		return false
	}
	h.current.Store(d)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	if h.State != nil {
		h.State.Merge(gossip.Entry{
			Kind: gossip.KindConfiguration,
			Key:  entryKey,
			Version: gossip.Version{
				Major: d.Revision,
			},
		})
	}
	return true
}

// Changed returns a channel that is closed at the next Take that succeeds.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// Told returns the highest revision that gossip has told of.
func (h *Holder) Told() uint64 {
	if h.State == nil {
		return 0
	}
	e, _ := h.State.Find(gossip.KindConfiguration, entryKey)
	return e.Version.Major
}

package configuration

import (
	"sync"
	"sync/atomic"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
)

// gossipKey is the only key of gossip entries of kind configuration.
const gossipKey = "revision"

// Holder holds the document in force. The zero value holds none.
type Holder struct {
	// State spreads each new revision by gossip. If it is nil, nothing is spread.
	State *gossip.State

	current atomic.Pointer[Document]
	mu      sync.Mutex
	changed chan struct{}
}

// Current returns the document in force, or nil before the first one. It is on the
// path of every request and takes no lock.
func (h *Holder) Current() *Document { return h.current.Load() }

// Revision returns the revision in force, or zero.
func (h *Holder) Revision() uint64 {
	if d := h.Current(); d != nil {
		return d.Revision
	}
	return 0
}

// Update puts d in force and reports true, unless the same or a newer revision is
// already in force. After an outage the key-value service may answer with an older
// revision; applying it would undo a change that was reported to an operator as accepted.
func (h *Holder) Update(d *Document) bool {
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
			Key:  gossipKey,
			Version: gossip.Version{
				Major: d.Revision,
			},
		})
	}
	return true
}

// Changed returns a channel that is closed when the next document comes into force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// GossipedRevision returns the highest revision announced by gossip.
func (h *Holder) GossipedRevision() uint64 {
	if h.State == nil {
		return 0
	}
	e, _ := h.State.Find(gossip.KindConfiguration, gossipKey)
	return e.Version.Major
}

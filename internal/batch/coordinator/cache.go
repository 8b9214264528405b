package coordinator

import (
	"sync"

	"github.com/egretbend/egretbend/internal/batch/ledger"
)

// recordCacheSize is how many batches are cached, of about a megabyte each.
const recordCacheSize = 6

// recordCache holds the batches that were last read from the ledger and don't change any
// more. Its zero value is an empty cache.
type recordCache struct {
	mu   sync.Mutex
	ids  [recordCacheSize]string
	recs [recordCacheSize]*ledger.Record
	next int
}

// get returns the record of a batch, or nil if it is not cached.
func (s *recordCache) get(id string) *ledger.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.ids {
		if s.ids[i] == id {
			return s.recs[i]
		}
	}
	return nil
}

// add caches a batch that is ended or all of whose results are listed, in place of the
// oldest one.
func (s *recordCache) add(id string, rec *ledger.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[s.next], s.recs[s.next] = id, rec
	s.next = (s.next + 1) % recordCacheSize
}

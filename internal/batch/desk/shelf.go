package desk

import (
	"sync"

	"github.com/egretbend/egretbend/internal/batch/ledger"
)

// shelfSize is how many batches are kept, of about a megabyte each.
const shelfSize = 6

// shelf keeps the last batches that were read from the ledger when nothing of them
// changed any more. Its zero value is empty.
type shelf struct {
	mu   sync.Mutex
	ids  [shelfSize]string
	recs [shelfSize]*ledger.Record
	next int
}

// find returns a batch, or nil.
func (s *shelf) find(id string) *ledger.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.ids {
		if s.ids[i] == id {
			return s.recs[i]
		}
	}
	return nil
}

// keep takes a batch that is ended, or all of whose items are listed.
func (s *shelf) keep(id string, rec *ledger.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[s.next], s.recs[s.next] = id, rec
	s.next = (s.next + 1) % shelfSize
}

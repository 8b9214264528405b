package desk

import (
	"sync"

	"github.com/egretbend/egretbend/internal/batch/ledger"
)

// shelfSize is how many whole batches are kept, some megabytes at most.
const shelfSize = 3

// shelf keeps the last batches that were read whole from the ledger. Nothing of
// them changes any more. Its zero value is empty.
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

// keep takes a batch all of whose items are listed.
func (s *shelf) keep(id string, rec *ledger.Record) {
	if len(rec.Results) < len(rec.Submission.Items) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[s.next], s.recs[s.next] = id, rec
	s.next = (s.next + 1) % shelfSize
}

package coordinator

import (
	"sync"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
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
func (c *recordCache) get(id string) *ledger.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.ids {
		if c.ids[i] == id {
			return c.recs[i]
		}
	}
	return nil
}

// keep removes the batches that may not be stored here.
func (c *recordCache) keep(allowed func(submission.Binding) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, rec := range c.recs {
		if rec != nil && !allowed(rec.Submission.Binding()) {
			c.ids[i], c.recs[i] = "", nil
		}
	}
}

// add caches a batch that is ended or all of whose results are listed, in place of the
// oldest one.
func (c *recordCache) add(id string, rec *ledger.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids[c.next], c.recs[c.next] = id, rec
	c.next = (c.next + 1) % recordCacheSize
}

package usage

import (
	"sync"

	"github.com/egretbend/egretbend/internal/fleet/peer"
)

// mostRecords bounds the lives that a collector remembers.
const mostRecords = 4096

// Collector keeps what the instances of a failure domain counted. Its zero value works.
type Collector struct {
	mu      sync.Mutex
	records map[string]map[string]Record
	count   int
	newest  Window
}

// Take keeps the record of an instance.
func (c *Collector) Take(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range r.Windows {
		if w > c.newest {
			c.newest = w
			c.clear()
		}
	}
	if c.records == nil {
		c.records = make(map[string]map[string]Record)
	}
	lives := c.records[r.Instance]
	if lives == nil {
		lives = make(map[string]Record)
		c.records[r.Instance] = lives
	}
	old, known := lives[r.Incarnation]
	if known && !r.newer(old) || !known && c.count >= mostRecords {
		return
	}
	if !known {
		c.count++
	}
	lives[r.Incarnation] = r.clone()
}

// clear forgets what is too old. The lock is held.
func (c *Collector) clear() {
	for instance, lives := range c.records {
		for life, r := range lives {
			forget(r.Windows, c.newest)
			if len(r.Windows) == 0 {
				delete(lives, life)
				c.count--
			}
		}
		if len(lives) == 0 {
			delete(c.records, instance)
		}
	}
}

// Find returns the records of all lives, with one window each.
func (c *Collector) Find(w Window) []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []Record
	for _, lives := range c.records {
		for _, r := range lives {
			if counts, ok := r.Windows[w]; ok {
				r.Windows = map[Window]Counts{w: counts}
				found = append(found, r.clone())
			}
		}
	}
	return found
}

// receiver is the name of the calls between instances.
const receiver = "Usage"

// Server answers the calls of other instances.
type Server struct {
	collector *Collector
}

// Register lets other instances store here what they counted, and ask for it.
func (c *Collector) Register(s *peer.Server) error {
	return s.Register(receiver, &Server{
		collector: c,
	})
}

// Store keeps a record.
func (s *Server) Store(r *Record, taken *bool) error {
	s.collector.Take(*r)
	*taken = true
	return nil
}

// Find answers with what is known of a window.
func (s *Server) Find(w *Window, records *[]Record) error {
	*records = s.collector.Find(*w)
	return nil
}

package usage

import (
	"sync"

	"github.com/egretbend/egretbend/internal/fleet/peer"
)

// maxRecords limits the number of incarnations whose records a collector keeps.
const maxRecords = 4096

// Collector keeps the counts of the instances of a failure domain. Its zero value is ready
// to use.
type Collector struct {
	mu sync.Mutex
	// records holds the records by instance and incarnation, count their number.
	records map[string]map[string]Record
	count   int
	// newest is the newest window of all records.
	newest Window
}

// Add stores the record of an instance, unless a newer one of the same incarnation is
// known or the collector is full.
func (c *Collector) Add(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range r.Windows {
		if w > c.newest {
			c.newest = w
			c.dropExpiredRecords()
		}
	}
	if c.records == nil {
		c.records = make(map[string]map[string]Record)
	}
	incarnations := c.records[r.Instance]
	if incarnations == nil {
		incarnations = make(map[string]Record)
		c.records[r.Instance] = incarnations
	}
	old, known := incarnations[r.Incarnation]
	if known && !r.newer(old) || !known && c.count >= maxRecords {
		return
	}
	if !known {
		c.count++
	}
	incarnations[r.Incarnation] = r.clone()
}

// dropExpiredRecords removes windows that are too old, and records that have no windows
// left. The caller holds c.mu.
func (c *Collector) dropExpiredRecords() {
	for instance, incarnations := range c.records {
		for incarnation, r := range incarnations {
			dropExpiredWindows(r.Windows, c.newest)
			if len(r.Windows) == 0 {
				delete(incarnations, incarnation)
				c.count--
			}
		}
		if len(incarnations) == 0 {
			delete(c.records, instance)
		}
	}
}

// Find returns the records of all incarnations that have counts of the window w, reduced to
// that window.
func (c *Collector) Find(w Window) []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []Record
	for _, incarnations := range c.records {
		for _, r := range incarnations {
			if counts, ok := r.Windows[w]; ok {
				r.Windows = map[Window]Counts{w: counts}
				found = append(found, r.clone())
			}
		}
	}
	return found
}

// rpcService is the service name of the calls between instances.
const rpcService = "Usage"

// Server handles the calls of other instances.
type Server struct {
	collector *Collector
}

// Register registers c with s, so that other instances can store their counts here and
// query them.
func (c *Collector) Register(s *peer.Server) error {
	return s.Register(rpcService, &Server{
		collector: c,
	})
}

// Store stores a record in the collector.
func (s *Server) Store(r *Record, accepted *bool) error {
	s.collector.Add(*r)
	*accepted = true
	return nil
}

// Find answers with the records of a window.
func (s *Server) Find(w *Window, records *[]Record) error {
	*records = s.collector.Find(*w)
	return nil
}

package journal

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// historyLength is the number of decisions that an instance keeps in memory: about
// one minute at peak load, and some megabytes.
const historyLength = 8192

// Record is a decision from the in-memory history of an instance.
type Record struct {
	At       time.Time         `json:"at"`
	Instance string            `json:"instance"`
	Decision string            `json:"decision"`
	Fields   map[string]string `json:"fields"`
}

// history is a ring buffer of the latest decisions.
type history struct {
	mu   sync.Mutex
	ring []decision
	next int // index of the oldest decision once the ring is full
}

// decision is an entry of the history. Its fields are formatted only when it is
// queried.
type decision struct {
	at     time.Time
	kind   string
	fields log.Fields
}

func (h *history) add(kind string, fields log.Fields) {
	d := decision{
		at:     time.Now(),
		kind:   kind,
		fields: fields,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.ring) < historyLength {
		h.ring = append(h.ring, d)
		return
	}
	h.ring[h.next] = d
	h.next = (h.next + 1) % historyLength
}

// idFields are the log fields that identify the request or sample of a decision.
var idFields = []string{"request_id", "sample"}

// FindDecisions returns the decisions in memory about a request or sample ID.
func (j *Journal) FindDecisions(id string) []Record {
	if j == nil {
		return nil
	}
	j.history.mu.Lock()
	defer j.history.mu.Unlock()
	var list []Record
	for _, d := range j.history.ring {
		if d.isAbout(id) {
			list = append(list, d.toRecord(j.instance))
		}
	}
	return list
}

// isAbout reports whether one of the decision's ID fields equals id, or contains it
// between dots, as the request ID of a sample contains the sample's ID.
func (d decision) isAbout(id string) bool {
	for _, name := range idFields {
		v, _ := d.fields[name].(string)
		if v == id || (v != "" && strings.Contains(v, "."+id+".")) {
			return true
		}
	}
	return false
}

// toRecord returns the decision with its fields formatted as text.
func (d decision) toRecord(instance string) Record {
	r := Record{
		At:       d.at,
		Instance: instance,
		Decision: d.kind,
		Fields:   make(map[string]string, len(d.fields)),
	}
	for name, v := range d.fields {
		r.Fields[name] = fmt.Sprint(v)
	}
	return r
}

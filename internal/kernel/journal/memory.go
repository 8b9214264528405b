package journal

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// memoryLength is how many decisions an instance remembers: about a minute at
// the busiest, some megabytes.
const memoryLength = 8192

// Record is one remembered decision.
type Record struct {
	At       time.Time         `json:"at"`
	Instance string            `json:"instance"`
	Decision string            `json:"decision"`
	Fields   map[string]string `json:"fields"`
}

// memory is a ring of the last decisions.
type memory struct {
	mu   sync.Mutex
	ring []entry
	next int
}

type entry struct {
	at     time.Time
	what   string
	fields log.Fields
}

func (m *memory) add(what string, fields log.Fields) {
	e := entry{
		at:     time.Now(),
		what:   what,
		fields: fields,
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ring) < memoryLength {
		m.ring = append(m.ring, e)
		return
	}
	m.ring[m.next] = e
	m.next = (m.next + 1) % memoryLength
}

// named are the fields by which a decision is found.
var named = []string{"request_id", "sample"}

// Remembered returns the decisions about a request or sample.
func (j *Journal) Remembered(id string) []Record {
	if j == nil {
		return nil
	}
	j.memory.mu.Lock()
	defer j.memory.mu.Unlock()
	var list []Record
	for _, e := range j.memory.ring {
		if e.about(id) {
			list = append(list, e.record(j.instance))
		}
	}
	return list
}

// about reports whether the decision is about id, or about a sample whose
// request names it.
func (e entry) about(id string) bool {
	for _, name := range named {
		v, _ := e.fields[name].(string)
		if v == id || (v != "" && strings.Contains(v, "."+id+".")) {
			return true
		}
	}
	return false
}

func (e entry) record(instance string) Record {
	r := Record{
		At:       e.at,
		Instance: instance,
		Decision: e.what,
		Fields:   make(map[string]string, len(e.fields)),
	}
	for name, v := range e.fields {
		r.Fields[name] = fmt.Sprint(v)
	}
	return r
}

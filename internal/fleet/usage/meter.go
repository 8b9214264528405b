package usage

import (
	"sync"
	"time"
)

// keptWindows is how many windows a meter and a collector remember: reports of them may
// be late by an outage of the key-value service.
const keptWindows = 12

// Meter counts the requests that begin to run at one instance.
type Meter struct {
	Instance    string
	Incarnation string
	// Length is that of a window.
	Length time.Duration
	// Now returns the true time as far as it is known.
	Now func() time.Time
	// Changed is called after each change; nil is not called.
	Changed func()

	mu       sync.Mutex
	sequence uint64
	windows  map[Window]Counts
}

// Began counts a request that is sent to an upstream now. Undo takes it back: the
// upstream did not run it.
func (m *Meter) Began(organisation string) (undo func()) {
	w := WindowAt(m.Now(), m.Length)
	m.add(organisation, w, 1)
	return func() { m.add(organisation, w, -1) }
}

func (m *Meter) add(organisation string, w Window, n int) {
	m.mu.Lock()
	if m.windows == nil {
		m.windows = make(map[Window]Counts)
	}
	if m.windows[w] == nil {
		m.windows[w] = make(Counts)
		forget(m.windows, w)
	}
	m.windows[w][organisation] += n
	m.sequence++
	m.mu.Unlock()
	if m.Changed != nil {
		m.Changed()
	}
}

// Record returns all that was counted lately.
func (m *Meter) Record() Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Record{
		Instance:    m.Instance,
		Incarnation: m.Incarnation,
		Sequence:    m.sequence,
		Windows:     m.windows,
	}.clone()
}

// forget removes windows that are too old beside the newest one.
func forget(windows map[Window]Counts, newest Window) {
	for w := range windows {
		if w <= newest-keptWindows {
			delete(windows, w)
		}
	}
}

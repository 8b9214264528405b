package usage

import (
	"sync"
	"time"
)

// retainedWindows is how many windows a meter and a collector keep, since reports may be
// delayed by an outage of the key-value service.
const retainedWindows = 12

// Meter counts the requests that begin to run at one instance.
type Meter struct {
	Instance    string
	Incarnation string
	// WindowLength is the duration of a window.
	WindowLength time.Duration
	// Now returns the best known estimate of the time of day.
	Now func() time.Time
	// OnChange, if not nil, is called after each change.
	OnChange func()

	mu       sync.Mutex
	sequence uint64
	windows  map[Window]Counts
}

// RequestStarted counts a request that is being sent to an upstream. The caller calls undo
// if the upstream did not run the request.
func (m *Meter) RequestStarted(organisation string) (undo func()) {
	w := WindowAt(m.Now(), m.WindowLength)
	m.add(organisation, w, 1)
	return func() { m.add(organisation, w, -1) }
}

// add adds n to the count of an organisation in the window w.
func (m *Meter) add(organisation string, w Window, n int) {
	m.mu.Lock()
	if m.windows == nil {
		m.windows = make(map[Window]Counts)
	}
	if m.windows[w] == nil {
		m.windows[w] = make(Counts)
		dropExpiredWindows(m.windows, w)
	}
	m.windows[w][organisation] += n
	m.sequence++
	m.mu.Unlock()
	if m.OnChange != nil {
		m.OnChange()
	}
}

// Record returns a copy of the counts of the retained windows.
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

// dropExpiredWindows removes the windows that are retainedWindows or more behind the
// newest one.
func dropExpiredWindows(windows map[Window]Counts, newest Window) {
	for w := range windows {
		if w <= newest-retainedWindows {
			delete(windows, w)
		}
	}
}

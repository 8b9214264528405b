package usage

import (
	"maps"
	"time"
)

// Window is the number of a window since the start of 1970.
type Window int64

// Counts are the requests of each organisation.
type Counts map[string]int

// WindowAt returns the window of some length that a moment lies in.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixMilli() / length.Milliseconds())
}

// End returns the moment at which a window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli((int64(w) + 1) * length.Milliseconds())
}

// Record is all that one life of an instance counted lately.
type Record struct {
	Instance    string
	Incarnation string
	// Sequence grows with each change.
	Sequence uint64
	Windows  map[Window]Counts
}

// newer reports whether r says more than other of the same life.
func (r Record) newer(other Record) bool { return r.Sequence >= other.Sequence }

// clone returns a copy that shares nothing.
func (r Record) clone() Record {
	windows := make(map[Window]Counts, len(r.Windows))
	for w, c := range r.Windows {
		windows[w] = maps.Clone(c)
	}
	r.Windows = windows
	return r
}

// Sum returns the counts of a window over all records. Of each life the newest record
// counts, whichever collector it came from.
func Sum(w Window, records []Record) Counts {
	type life struct{ instance, incarnation string }
	newest := make(map[life]Record)
	for _, r := range records {
		l := life{r.Instance, r.Incarnation}
		if old, ok := newest[l]; !ok || r.newer(old) {
			newest[l] = r
		}
	}
	sum := make(Counts)
	for _, r := range newest {
		for organisation, n := range r.Windows[w] {
			if n > 0 {
				sum[organisation] += n
			}
		}
	}
	return sum
}

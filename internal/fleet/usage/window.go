package usage

import (
	"maps"
	"time"
)

// Window is the number of a time window, counted from the Unix epoch (the start of 1970).
type Window int64

// Counts is the number of requests of each organisation.
type Counts map[string]int

// WindowAt returns the window that contains a time, for windows of the given length.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixMilli() / length.Milliseconds())
}

// End returns the time at which w ends, for windows of the given length.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli((int64(w) + 1) * length.Milliseconds())
}

// Record holds the recent counts of one incarnation of an instance, that is, of one run
// of its process.
type Record struct {
	Instance    string
	Incarnation string
	// Sequence increases with each change.
	Sequence uint64
	Windows  map[Window]Counts
}

// newer reports whether r is at least as recent as other, a record of the same
// incarnation.
func (r Record) newer(other Record) bool { return r.Sequence >= other.Sequence }

// clone returns a deep copy.
func (r Record) clone() Record {
	windows := make(map[Window]Counts, len(r.Windows))
	for w, c := range r.Windows {
		windows[w] = maps.Clone(c)
	}
	r.Windows = windows
	return r
}

// Sum returns the total counts of a window over all records. Only the newest record of each
// incarnation counts, whichever collector it came from.
func Sum(w Window, records []Record) Counts {
	type incarnationKey struct{ instance, incarnation string }
	newest := make(map[incarnationKey]Record)
	for _, r := range records {
		key := incarnationKey{r.Instance, r.Incarnation}
		if old, ok := newest[key]; !ok || r.newer(old) {
			newest[key] = r
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

package version

import (
	"fmt"
	"math"
)

// Version identifies one set of weights of a model. Epochs order first, then numbers.
type Version struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Number < w.Number
}

// IsZero reports whether v is the zero value, which identifies no weights.
func (v Version) IsZero() bool { return v == Version{} }

// String returns the version as epoch.number.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Number) }

// Behind returns by how many versions v is older than newest, or 0 if it is not older.
// If v is of an earlier epoch, it returns math.MaxUint64, as numbers of different
// epochs are not comparable.
func (v Version) Behind(newest Version) uint64 {
	if !v.Less(newest) {
		return 0
	}
	if v.Epoch != newest.Epoch {
		return math.MaxUint64
	}
	return newest.Number - v.Number
}

package retry

import "sync/atomic"

// Budget is an account of retries in thousandths. Its zero value begins with
// the reserve.
type Budget struct {
	spent atomic.Int64
}

const (
	unit = 1000
	// reserve lets a quiet deployment retry a few requests at once.
	reserve = 10 * unit
)

// Earn notes a request that succeeded; share is the fraction of a retry that
// it allows.
func (b *Budget) Earn(share float64) {
	earned := int64(share * unit)
	for {
		old := b.spent.Load()
		if b.spent.CompareAndSwap(old, max(0, old-earned)) {
			return
		}
	}
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	for {
		old := b.spent.Load()
		if old+unit > reserve {
			return false
		}
		if b.spent.CompareAndSwap(old, old+unit) {
			return true
		}
	}
}

package retry

import "sync/atomic"

// Budget counts the retries that are available to a deployment. Its zero value holds
// the full reserve of 10 retries, which is also the most it can hold.
type Budget struct {
	// spent is how much of the reserve is used, in thousandths of a retry.
	spent atomic.Int64
}

const (
	// unitsPerRetry makes one retry 1000 units, so that fractions can be earned.
	unitsPerRetry = 1000
	// reserve, in units, lets a deployment with little traffic retry a few requests
	// at once.
	reserve = 10 * unitsPerRetry
)

// Deposit records a request that succeeded. share is the fraction of a retry that it
// adds to the budget.
func (b *Budget) Deposit(share float64) {
	earned := int64(share * unitsPerRetry)
	for {
		old := b.spent.Load()
		if b.spent.CompareAndSwap(old, max(0, old-earned)) {
			return
		}
	}
}

// Withdraw takes one retry from the budget and reports whether one was left.
func (b *Budget) Withdraw() bool {
	for {
		old := b.spent.Load()
		if old+unitsPerRetry > reserve {
			return false
		}
		if b.spent.CompareAndSwap(old, old+unitsPerRetry) {
			return true
		}
	}
}

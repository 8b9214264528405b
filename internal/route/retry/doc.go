// Package retry limits how many requests are sent a second time.
//
// A Budget earns a fraction of a retry for each request that succeeds, and each retry
// is taken from it. When upstreams fail, the budget runs out and retries stop, so
// they can't amplify an overload:
//
//	var budget retry.Budget
//	budget.Deposit(0.1) // a request succeeded and adds a tenth of a retry
//	if !budget.Withdraw() {
//		return lastErr // no retry left
//	}
package retry

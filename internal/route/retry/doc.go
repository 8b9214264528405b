// Package retry bounds how many requests are sent a second time.
//
// A Budget earns a fraction of a retry for each request that succeeds. When
// upstreams fail, retries stop by themselves, so an overload can't feed itself:
//
//	if !budget.Take() {
//		return lastError
//	}
package retry

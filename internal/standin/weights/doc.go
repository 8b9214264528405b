// Package weights is a small stand-in for the rate-limited weight store.
//
//	s := &weights.Server{Timer: timer.Real{}, PerSecond: 20, Took: 200 * time.Millisecond}
//
// A fetch above the rate is answered with status 429.
package weights

// Package weights simulates the rate-limited weight store over HTTP.
//
//	s := &weights.Server{Timer: timer.Real{}, PerSecond: 20, FetchTime: 200 * time.Millisecond}
//
// Server answers a fetch above PerSecond with status 429, and any other after the
// time FetchTime. Faults makes it refuse all fetches.
package weights

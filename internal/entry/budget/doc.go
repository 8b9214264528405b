// Package budget bounds the memory that an instance holds for callers and upstreams that
// read or write slowly.
//
// A Budget counts the bytes of all requests in one sum. Each request opens a Lease and
// reserves on it before it allocates: its body, the response that waits to be written, a
// batch that is decoded, the buffers of a stream. Closing the lease returns everything.
//
//	lease, err := b.Open(r.Context(), id)
//	if err != nil {
//		return err // nothing of the request was run
//	}
//	defer lease.Close()
//	body, err := lease.ReadBody(r.Body, r.ContentLength)
//
// At the bound, new work is refused, a response waits for room, and the holder that has
// waited for its caller for the longest time is cut.
//
// Conn wraps a caller's connection. It tells the lease how far a write got, and cuts a
// write that makes no progress at all.
package budget

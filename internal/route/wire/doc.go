// Package wire sends requests to upstreams and knows whether a byte of them
// may have left.
//
//	res, sent, err := client.Do(req)
//	if err != nil && !sent {
//		// the upstream can't have run it
//	}
//
// The HTTP client of the standard library repeats some requests by itself and
// may still write to a connection after it reported an error. Client therefore
// counts the bytes of each connection below it and, after an error, seals the
// connection before it looks: what was not written then never will be.
package wire

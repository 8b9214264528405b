// Package wire sends HTTP requests to upstreams and reports, for a request that
// failed, whether any byte of it may have been sent.
//
//	client := &wire.Client{}
//	res, sent, err := client.Do(req, wire.Fresh)
//	if err != nil && !sent {
//		// the upstream can't have run the request
//	}
//
// The HTTP client of the standard library repeats some requests by itself and may
// still write to a connection after it returned an error. Client therefore counts the
// bytes written to each connection. After an error it closes the connection for
// writing before it reads the count, so the count can't change afterwards.
package wire

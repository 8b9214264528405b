// Package answer checks the heads of HTTP responses, for all clients of the program.
//
//	if err := answer.Check(res); err != nil {
//		// the bytes are no response to the request
//	}
//
// The HTTP client of the standard library accepts heads that are not valid, and may take another part
// of the connection for the body then. Nothing of such a response may be used, and its connection must
// carry no other request. Transport does this for clients that need no more than http.Client.
package answer

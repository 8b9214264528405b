// Package fingerprint tells whether two requests are one and the same, sent again.
//
//	sum := fingerprint.Of(fingerprint.Parts{
//		Host:   r.Host,
//		Target: r.URL.RequestURI(),
//		Body:   body,
//	})
//	print := sum.Under(secret)
//
// A Sum stays in the process that made it. A Print may be logged and sent to other
// instances: without the secret, which no caller knows, nothing can be tried against
// it.
package fingerprint

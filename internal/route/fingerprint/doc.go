// Package fingerprint identifies requests by their content, so that a repeated request is
// recognised.
//
//	digest := fingerprint.DigestOf(fingerprint.Parts{
//		Host:   r.Host,
//		Target: r.URL.RequestURI(),
//		Body:   body,
//	})
//	fp := digest.Keyed(secret)
//
// A Digest is a plain digest and must stay in the process that made it. A Fingerprint is
// keyed with a secret that no caller knows, so it may be logged and sent to other
// instances: without the secret, likely contents can't be tested against it.
package fingerprint

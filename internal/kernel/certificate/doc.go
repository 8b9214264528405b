// Package certificate keeps certificates in files, and loads them again when they
// are renewed.
//
//	pair := &certificate.Pair{Certificate: "cert.pem", PrivateKey: "key.pem"}
//	door := certificate.Door(pair)           // callers check who answers
//	fleet := certificate.Fleet(pair, "ca.pem") // both sides check each other
package certificate

// Package certificate makes TLS configurations from certificate files and reloads
// the files when they are renewed.
//
//	pair := &certificate.Pair{Certificate: "cert.pem", PrivateKey: "key.pem"}
//	server := certificate.ServerTLS(pair)       // clients verify the server
//	peer := certificate.PeerTLS(pair, "ca.pem") // mutual TLS between instances
package certificate

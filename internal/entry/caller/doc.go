// Package caller implements the HTTP API that callers use. It lists the addresses of
// instances, issues tickets for non-idempotent requests, forwards requests to plain
// services and generates completions on model engines.
//
//	GET  /v1/addresses
//	POST /v1/tickets
//	ANY  /v1/services/{deployment}/{path}
//	POST /v1/models/{deployment}/completions
//
// Server holds the handlers. The package registers itself as the part entry.caller,
// which adds the handlers to the instance's httpserver.Mux.
//
// docs/API.md describes the fields, headers and errors.
package caller

// Package caller serves the doors that callers use: addresses, tickets,
// requests to plain services and completions.
//
//	GET  /v1/addresses
//	POST /v1/tickets
//	ANY  /v1/services/{deployment}/{path}
//	POST /v1/models/{deployment}/completions
//
// docs/API.md states their fields, headers and errors.
package caller

// Package operator implements the HTTP API that operators use. It reads and changes the
// configuration, shows the status of the fleet, drains upstreams and instances, and lists
// the decisions about a request or sample.
//
//	GET  /v1/configuration
//	PUT  /v1/configuration
//	GET  /v1/configuration/changes/{id}
//	GET  /v1/configuration/history
//	GET  /v1/status
//	POST /v1/upstreams/{upstream}/drain
//	POST /v1/instance/drain
//	GET  /v1/decisions/{id}
//
// Server holds the handlers. The package registers itself as the part entry.operator,
// which adds the handlers to the instance's httpserver.Mux. If the instance's settings
// have an operator key, all paths need it.
//
// docs/API.md describes the fields and errors.
package operator

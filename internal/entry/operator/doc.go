// Package operator serves the doors that operators use: configuration, status,
// draining of upstreams and the decisions behind a request or sample.
//
//	GET  /v1/configuration
//	PUT  /v1/configuration
//	GET  /v1/configuration/changes/{id}
//	GET  /v1/status
//	POST /v1/upstreams/{upstream}/drain
//	GET  /v1/decisions/{id}
//
// docs/API.md states their fields and errors.
package operator

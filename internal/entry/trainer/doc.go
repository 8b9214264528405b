// Package trainer implements the HTTP API that trainers use. A trainer publishes weight
// versions, opens sessions, submits steps and reads finished samples.
//
//	POST /v1/models/{deployment}/versions
//	POST /v1/trainers/{trainer}/sessions
//	POST /v1/trainers/{trainer}/steps
//	POST /v1/trainers/{trainer}/read
//
// Server holds the handlers. The package registers itself as the part entry.trainer,
// which adds the handlers to the instance's httpserver.Mux. If the instance's settings
// have a trainer key, all paths need it.
//
// docs/API.md describes the fields and errors.
package trainer

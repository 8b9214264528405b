// Package trainer serves the doors that trainers use: weight versions,
// sessions, steps and reads.
//
//	POST /v1/models/{deployment}/versions
//	POST /v1/trainers/{trainer}/sessions
//	POST /v1/trainers/{trainer}/steps
//	POST /v1/trainers/{trainer}/read
//
// docs/API.md states their fields and errors.
package trainer

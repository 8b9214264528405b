// Package httpserver provides the HTTP server to which callers, trainers and operators
// connect, and shuts it down gracefully.
//
// Other parts add the handlers of their paths to the Mux:
//
//	mux := part.MustGet[*httpserver.Mux](h)
//	mux.HandleFunc(pat.Post("/v1/tickets"), s.handleTickets)
//
// Server is an HTTP server whose connection limits follow the operators'
// configuration.
//
// An instance that is told to stop marks itself as leaving, so that address responses
// no longer list it. It accepts connections until every response that lists it has
// expired. Then it refuses new connections, finishes the requests in flight and ends.
package httpserver

// Package door opens the address that callers, trainers and operators connect
// to, and closes it gracefully.
//
// Other parts add their paths to the Mux:
//
//	mux := part.Get[*door.Mux](h)
//	mux.HandleFunc(pat.Post("/v1/tickets"), s.tickets)
//
// Limited is a door whose limits follow the operators' configuration.
//
// A leaving instance drops out of all address answers at once, keeps accepting
// until every answer that names it has run out, then refuses new connections,
// finishes what is in flight and only then ends.
package door

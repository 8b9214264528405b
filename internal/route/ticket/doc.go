// Package ticket keeps a request that must not be repeated from running twice.
//
// An instance issues a Ticket, which holds its address, its incarnation and a number. Only
// that incarnation of that instance runs the ticket's request, and only once. An instance that
// receives a ticket of another issuer forwards the request to the issuer. Once the issuer is
// gone, the outcome of the request is unknown and no instance runs it again. So instances share
// no state, and the cost does not grow with the fleet.
//
//	run, earlier, err := issuer.Use(t, ticket.Fingerprint(method, deployment, path, body))
//	switch {
//	case err != nil: // expired, of another incarnation, or used for another request
//	case run != nil: // first use: run the request, then call run.Finish(answer, err)
//	default: // repeat: wait for earlier.Done, then call earlier.Result()
//	}
package ticket

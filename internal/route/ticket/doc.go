// Package ticket keeps a request that may not be repeated from running twice.
//
// An instance issues a Ticket: its address, its incarnation and a number. Only
// that incarnation of that instance lets the ticket's request run, and only
// once. Whoever else receives the ticket passes the request on to the issuer.
// When the issuer is gone, nobody can tell what became of the request, and
// nobody runs it again. So no state is shared and no cost grows with the fleet.
//
//	run, done, err := book.Use(ticket, ticket.Print(body))
//	switch {
//	case err != nil:     // expired, of another incarnation, used for something else
//	case run != nil:     // first use: run it, then run.Finish(answer, err)
//	default:             // a repeat: wait for done, then done.Answer
//	}
package ticket

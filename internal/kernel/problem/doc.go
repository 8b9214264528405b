// Package problem defines the typed errors that an instance returns to its clients.
//
// Each Kind has a stable code, an HTTP status, a remedy and a default Outcome, which
// tells whether the request was run. An Error is one occurrence of a Kind, with its
// cause and, where known, the time after which to retry. Write sends an error as a
// JSON response.
//
//	return problem.Overloaded.With(fmt.Errorf("deployment %q is full", name)).
//		WithRetryAfter(2 * time.Second)
//
// Outcome NotRun is a guarantee. It is given only when no byte of the request
// reached an upstream, or when the upstream itself said that it did not run it.
package problem

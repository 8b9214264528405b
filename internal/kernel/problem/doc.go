// Package problem holds the typed errors that leave an instance.
//
// Each Kind has a stable code, an HTTP status and a remedy. An Error adds what
// happened this time and, above all, the Outcome: whether the request was run.
//
//	return problem.Overloaded.With(fmt.Errorf("deployment %q is full", name)).
//		WithRetryAfter(2 * time.Second)
//
// Outcome NotRun is a promise. It is given only when no byte of the request
// reached an upstream, or when the upstream itself said that it did not run it.
package problem

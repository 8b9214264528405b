// Package questionnaire generates a configuration from a team's answers about its
// workloads, priorities and tolerances.
//
// Answers come from a file or from an Interview in a terminal. The same answers always
// give the same configuration, and each generated value has a Reason that names the
// answer it follows from:
//
//	cfg, reasons, err := questionnaire.Generate(answers)
//
// Contradictory answers are rejected with a remedy.
package questionnaire

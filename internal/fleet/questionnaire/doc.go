// Package questionnaire turns a team's answers about its workloads, priorities
// and tolerances into a configuration.
//
// The same answers always give the same configuration, and each generated
// value says which answer it follows from:
//
//	cfg, reasons, err := questionnaire.Generate(answers)
//
// Answers that contradict each other are refused with what to change.
package questionnaire

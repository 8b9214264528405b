// Package session holds the state of a trainer's session: the steps that the
// trainer submitted, the samples that are finished, and those that it has read.
//
// A Session gives out attempts (Attempt), takes their results (FinishedSample), and
// returns finished samples in batches (Batch). The trainer increases the session
// number, which acts as a fencing token, opens the session at any instance and
// reads there with a cursor; each read acknowledges the batch before:
//
//	s := &session.Session{Trainer: "saddle", Number: 4}
//	err := s.Submit(spec, dropAfter, now)
//	work, ok := s.Next(limits, now) // an attempt to run
//	first := s.Finish(work.Key, finished, now)
//	batch, err := s.Read(cursor, 32, bound, now)
//
// The read position comes from the trainer alone, so exactly-once delivery needs
// no write to the platform. The package does no I/O; package runner does.
package session

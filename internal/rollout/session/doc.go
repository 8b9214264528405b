// Package session is the state of a trainer's session: steps that it
// submitted, samples that are finished, and what it has read.
//
// The trainer's session is the fence. The trainer raises the session number
// itself, opens the session at any instance and reads there with a cursor;
// each read acknowledges the one before:
//
//	s := &session.Session{Trainer: "saddle", Number: 4}
//	s.Submit(spec, now)
//	item := s.Next(limits, now) // to be run
//	s.Finish(item.Key, sample, now)
//	batch, err := s.Read(cursor, 32, bound, now)
//
// How far a trainer has read comes from the trainer alone, so exactly once
// needs no write to the platform. The package does no input or output; the
// runner does.
package session

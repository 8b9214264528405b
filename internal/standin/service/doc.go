// Package service simulates a plain service, such as an order desk or a panel
// application.
//
// Server executes orders over HTTP, with a limited number of slots, a queue and
// injected Faults. It counts the runs of each order, so that tests detect an order
// that ran twice:
//
//	s := &service.Server{
//		Timer:    timer.Real{},
//		Settings: service.Settings{ID: "desk-1", Slots: 8, WorkMS: 20},
//	}
//	http.Serve(ln, s.Handler())
//	s.Runs() // order id to number of runs
package service

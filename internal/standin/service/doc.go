// Package service is a small stand-in for a plain service, such as an order
// desk or a panel application.
//
// It keeps a record of each run of an order, so that a second run shows:
//
//	s := &service.Server{Timer: timer.Real{}, Settings: service.Settings{ID: "desk-1", Slots: 8, WorkMS: 20}}
//	http.Serve(ln, s.Handler())
//	s.Runs() // order id to number of runs
package service

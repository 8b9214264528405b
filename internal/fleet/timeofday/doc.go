// Package timeofday estimates the true time of day from the clocks of many instances.
//
// The clocks of a few are off by seconds, and jump. An instance hears those of others
// with their heartbeats, and takes the middle one of all:
//
//	clock := &timeofday.Clock{
//		Timer: timer.Real{},
//		Wall:  time.Now,
//	}
//	clock.Heard("gent-a-1", sent)
//	now := clock.Now()
//
// One that gets few heartbeats adopts the estimate of one that gets many. Between two
// estimates the time goes on with the timer service, which does not jump.
package timeofday

// Package timeofday estimates the true time of day from the clocks of many instances.
//
// The clocks of a few instances are off by seconds, and may jump. An instance receives
// the clocks of others with their heartbeats and uses the median of all:
//
//	clock := &timeofday.Clock{
//		Timer: timer.Real{},
//		Wall:  time.Now,
//	}
//	clock.AddSample("gent-a-1", sent)
//	now := clock.Now()
//
// An instance that gets few heartbeats adopts the estimate of one that gets many.
// Between two estimates the time advances with the timer service, which does not jump.
package timeofday

// Package wake provides a signal that wakes a goroutine waiting for work.
//
//	var todo wake.Signal
//	go func() {
//		for range todo.C() {
//			work()
//		}
//	}()
//	todo.Set()
package wake

// Package wake wakes a goroutine that waits for something to do.
//
//	var todo wake.Signal
//	go func() {
//		for range todo.C() {
//			work()
//		}
//	}()
//	todo.Set()
package wake

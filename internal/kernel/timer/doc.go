// Package timer provides the program's clock and timers. All code that waits for
// time to pass uses it, so that tests can control the time.
//
// Callers subscribe to a Service and receive from the subscription's channel:
//
//	sub := svc.Every(500 * time.Millisecond)
//	defer sub.Close()
//	for {
//		select {
//		case <-sub.C:
//			exchange()
//		case <-t.Dying():
//			return nil
//		}
//	}
//
// Real follows the machine's clock, including time that the machine is suspended.
// Manual moves only when a test advances it, so tests never sleep.
package timer

// Package timer is the one place where the program waits for time to pass.
//
// A part subscribes to a Service and polls the subscription's channel:
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
// Real follows the machine's clock, time spent suspended included. Manual
// moves only when a test advances it, so tests never sleep.
package timer

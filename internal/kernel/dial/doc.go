// Package dial opens TCP connections whose undelivered bytes are discarded when they are closed.
//
//	d := dial.Dialer{
//		Timeout:     time.Second,
//		UserTimeout: 2 * time.Second,
//	}
//	nc, err := d.DialContext(ctx, "tcp", address)
//
// After an ordinary close the kernel keeps bytes that a network partition holds up, and delivers
// them when the partition heals: a call whose deadline has passed would be carried out seconds
// later. A connection of this package is reset instead (SO_LINGER 0), also when its process is
// killed. TCP_USER_TIMEOUT bounds how long the kernel retains bytes that are not acknowledged while
// the connection is open, which counts when the process is paused and can't close it.
package dial

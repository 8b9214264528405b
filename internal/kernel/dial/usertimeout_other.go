//go:build !linux

package dial

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing, as the option is specific to Linux.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }

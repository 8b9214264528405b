package dial

import (
	"fmt"
	"net"
	"strconv"
)

// CheckAddress returns an error unless an address is a host and a port from 1 to 65535.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); host == "" || err != nil || n == 0 {
		return fmt.Errorf("address %.80q is not a host and a port from 1 to 65535", address)
	}
	return nil
}

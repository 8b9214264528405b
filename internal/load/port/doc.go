// Package port assigns free loopback ports to processes that are started later.
//
// A Block reserves a range of ports for one run, so that runs at the same time
// don't assign the same port twice:
//
//	var block port.Block
//	defer block.Release()
//	address, err := block.Next()
package port

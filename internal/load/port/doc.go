// Package port gives out free loopback ports to processes that are started later.
//
//	var block port.Block
//	defer block.Release()
//	address, err := block.Free()
package port

// Package placement orders weight versions onto engines.
//
// The engines of a deployment are shared out over a fixed number of shards by
// a hash of their names. The holder of a shard's lease compares what each
// engine reports with the newest published version, and orders the difference
// in two steps: fetch the weights, under the fleet's share of the weight
// store's rate, and then switch.
//
//	for _, o := range placement.Plan(engines, newest, limits) { give(o) }
//
// Orders name the wanted state and only go up, so one that comes twice, late
// or from two holders is harmless. With the key-value service down, one
// instance by rendezvous hash goes on under the last known fencing number.
package placement

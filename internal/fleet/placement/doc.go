// Package placement orders engines to fetch and load the newest published
// version of their weights.
//
// The engines of a deployment are divided into a fixed number of shards by a
// hash of their IDs. The holder of a shard's lease compares the version that
// each engine reports with the newest published one. Engines that are behind get
// two orders: to fetch the weights, within the fleet's share of the rate of the
// weight store, and then to switch to them. Orderer runs this for all shards of
// which this instance holds the lease, and Plan computes the orders:
//
//	for _, order := range placement.Plan(engines, newest, inFlight, limits) {
//		send(order)
//	}
//
// An order names the wanted version, and wanted versions only increase, so an
// order that arrives twice, late or from two holders does no harm. While the
// key-value service is down, one instance, chosen by rendezvous hash, continues
// under the last fencing number that it knows.
package placement

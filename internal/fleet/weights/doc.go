// Package weights moves engines to the versions that trainers name.
//
//	orders := weights.Plan(engines, named, fresh, sets, atOnce)
//
// One instance at a time gives the orders, the one that has the duty. Each
// order names the count of orders that the engine should have seen, so an order
// that is carried out late, after newer ones, is refused by the engine itself.
//
// Engines that several trainers share are divided into one set for each model:
// a load empties an engine's memory and takes it out for about a second, and
// with every model on every engine most loads would be of no use to anybody.
package weights

// Package weights makes engines load the weight versions that trainers publish.
//
//	orders := weights.Plan(engines, latest, recent, assignment, maxLoads)
//
// Assign divides the engines of a service among its models, Plan chooses which
// engines load a new version next, and an Orderer sends the orders. Only one
// instance at a time gives orders, the holder of the duty. Each order states how
// many orders the engine should have accepted before, so an engine refuses an
// order that arrives late, after newer ones.
//
// Engines that several trainers share are divided into one set for each model,
// because a load clears an engine's memory and makes it unavailable for about a
// second. With every model on every engine, most loads would serve no request.
package weights

// Package demand tells the instances of a fleet which trainers want samples
// of a deployment, so that they can share its engines by weight.
//
// A session's instance tells when its trainer becomes busy or idle:
//
//	book.Tell(demand.Demand{Trainer: "saddle", Session: 4, Deployment: "plan", Weight: 3, Busy: true})
//	share := book.Share("plan", "saddle", 3, view) // 0.75 beside one of weight 1
//
// A trainer that is alone has a share of one, whatever its weight.
package demand

// Package demand publishes to the instances of a fleet which trainers need samples
// of a deployment, so that the trainers share its engines by weight.
//
// The instance of a trainer's session publishes a Demand to its Table, which gossip
// spreads, when the trainer becomes busy or idle:
//
//	table.Publish(demand.Demand{
//		Trainer:    "saddle",
//		Session:    4,
//		Deployment: "plan",
//		Weight:     3,
//		Busy:       true,
//	})
//	share := table.Share("plan", "saddle", 3, view) // 0.75 beside one of weight 1
//
// The only busy trainer of a deployment has a share of one, whatever its weight.
package demand

// Package version identifies the versions of model weights and holds the newest
// published one of each deployment.
//
//	table := &version.Table{State: state}
//	err := table.Publish("cutting-plan", version.Published{
//		Version: version.Version{Epoch: 1, Number: 7},
//		Source:  source,
//	})
//	newest, ok := table.Newest("cutting-plan")
//
// The newest version of a deployment only rises. A trainer that returns to older
// weights starts a new epoch.
package version

// Package version names weight versions and keeps the newest published one of
// each deployment.
//
//	board := &version.Board{State: state}
//	err := board.Publish("cutting-plan", version.Version{Epoch: 1, Number: 7}, source)
//	newest, ok := board.Newest("cutting-plan")
//
// A version only goes up. A trainer that goes back to older weights begins a
// new epoch.
package version

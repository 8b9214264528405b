// Package bulletin lets all instances know which requests crash upstreams.
//
//	board := &bulletin.Board{
//		Secret: secret,
//		Key:    name,
//		Poster: &bulletin.Key{
//			Space: space,
//			Name:  name,
//			Timer: clock,
//		},
//		Timer: clock,
//	}
//	t.Go(func() error { return board.Run(t) })
//	verdict := board.Judge(sum)
//
// Each incarnation of an instance has one key, which holds what it has seen itself; all hear of
// it with the view of instances. The key ends with a lease, some minutes after its last
// change, so that what is known outlives the instance. What needs no telling is not told: a
// request that upstreams ended under and that another one answered soon after.
package bulletin

// Package crashnotice shares between all instances which requests crash upstreams
// (poison requests), so that every instance can refuse them.
//
//	board := &crashnotice.Board{
//		Secret: secret,
//		Key:    name,
//		Publisher: &crashnotice.KeyPublisher{
//			Store: store,
//			Name:  name,
//			Timer: clock,
//		},
//		Timer: clock,
//	}
//	t.Go(func() error { return board.Run(t) })
//	verdict := board.Judge(digest)
//
// A Board judges requests by the crashes that any instance observed. It publishes those
// that this instance observed as a list of notices under one key for each incarnation of
// the instance, through a Publisher: KeyPublisher writes them to the key-value service,
// GossipPublisher sends them to other instances directly. The others receive the notices
// by Board.Apply. A key expires some minutes after its last renewal, so that its notices
// outlive the instance. A crash is not published if another upstream answers the request
// soon after.
//
// A Claimer lets one instance at a time send a request that is suspected:
//
//	result := claimer.Acquire(ctx, poison.ClaimRequest{
//		RequestID: id,
//		Digest:    digest,
//		TimeLeft:  left,
//	})
//	if result.Claim != nil {
//		defer result.Claim.End(answered)
//	}
//
// A claim is a key of the key-value service under a short lease. Its value passes on the
// crashes to the instance that claims the request next, and to all instances by
// Claimer.Apply.
package crashnotice

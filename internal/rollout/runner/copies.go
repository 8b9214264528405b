package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/rollout/keeper"
	"github.com/egretbend/egretbend/internal/rollout/sample"
)

const (
	// copyTargets is how many instances are tried for one copy.
	copyTargets = 3
	// askAll is the size of a fleet up to which all instances are asked for
	// copies. In a larger one those that any view could have named are asked.
	askAll = 64
)

func copyKey(trainer string, step uint64) string { return fmt.Sprintf("%s/%d", trainer, step) }

// copyOut copies a finished sample to one instance in another failure domain.
// It reports whether the session was found to be fenced.
func (r *Runner) copyOut(ctx context.Context, l *live, s *sample.Sample, raw []byte, age time.Duration, doneBelow uint64) bool {
	view := r.Members.View()
	for _, m := range view.TopOutside(view.Self.FailureDomain, copyKey(s.Trainer, s.Step), copyTargets) {
		if m.ID == view.Self.ID {
			continue
		}
		var reply keeper.KeepReply
		err := r.call(ctx, m, "Keeper.Keep", keeper.KeepArgs{
			Trainer:   s.Trainer,
			Session:   l.state.Number,
			Key:       s.Key,
			Raw:       raw,
			Oldest:    s.Oldest(),
			Age:       age,
			DoneBelow: doneBelow,
		}, &reply)
		if err == nil {
			r.Metrics.copied(len(raw))
			return reply.Fenced
		}
	}
	// With no other instance in reach the sample is handed over all the same.
	// If this instance dies now, the sample is made again.
	r.Metrics.count(fateUncopied)
	return false
}

// gather asks others for finished samples of a step and raises the fence
// there. It reports whether a later session was found.
func (r *Runner) gather(ctx context.Context, trainer string, number, step uint64) ([]keeper.Copy, bool) {
	var mu sync.Mutex
	var all []keeper.Copy
	fenced := false
	var wg sync.WaitGroup
	targets := r.keepers(trainer, step)
	for _, m := range targets {
		wg.Go(func() {
			copies, f := r.gatherFrom(ctx, m, trainer, number, step)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, copies...)
			fenced = fenced || f
		})
	}
	wg.Wait()
	if len(all) > 0 {
		r.Journal.Decision("recover", log.Fields{
			"trainer": trainer,
			"session": number,
			"step":    step,
			"copies":  len(all),
			"asked":   len(targets),
			"reason":  "new_session",
		})
	}
	return all, fenced
}

// keepers returns the instances that may hold copies of a step: whichever
// failure domain the earlier session's instance was in, its first choices are
// among the first choices outside of that domain.
func (r *Runner) keepers(trainer string, step uint64) []member.Member {
	view := r.Members.View()
	if len(view.Known) <= askAll {
		return view.Known
	}
	key := copyKey(trainer, step)
	seen := make(map[string]bool)
	domains := make(map[string]bool)
	var list []member.Member
	for _, m := range view.Alive {
		if domains[m.FailureDomain] {
			continue
		}
		domains[m.FailureDomain] = true
		for _, top := range view.TopOutside(m.FailureDomain, key, copyTargets) {
			if !seen[top.ID] {
				seen[top.ID] = true
				list = append(list, top)
			}
		}
	}
	return list
}

func (r *Runner) gatherFrom(ctx context.Context, m member.Member, trainer string, number, step uint64) ([]keeper.Copy, bool) {
	var copies []keeper.Copy
	for {
		args := keeper.GatherArgs{
			Trainer: trainer,
			Session: number,
			Step:    step,
			Skip:    len(copies),
		}
		var reply keeper.GatherReply
		err := r.call(ctx, m, "Keeper.Gather", args, &reply)
		if err != nil || reply.Fenced {
			return copies, reply.Fenced
		}
		// The way here took at most the deadline of the call; counting all of
		// it keeps a sample from looking younger than it is.
		for _, c := range reply.Copies {
			c.Age += peer.CallTimeout
			copies = append(copies, c)
		}
		if !reply.More {
			return copies, false
		}
	}
}

// call calls a peer, or this instance's own keeper without a connection.
func (r *Runner) call(ctx context.Context, m member.Member, method string, args, reply any) error {
	if m.ID == r.Members.Self().ID {
		return r.callSelf(args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	return r.Client.Call(ctx, m.PeerAddress, method, args, reply)
}

func (r *Runner) callSelf(args, reply any) error {
	switch a := args.(type) {
	case keeper.KeepArgs:
		return r.Keeper.Keep(a, reply.(*keeper.KeepReply))
	case keeper.GatherArgs:
		return r.Keeper.Gather(a, reply.(*keeper.GatherReply))
	}
	return fmt.Errorf("no call with %T", args)
}

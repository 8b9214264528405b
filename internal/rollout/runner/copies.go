package runner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/rollout/copystore"
	"github.com/egretbend/egretbend/internal/rollout/sample"
	"github.com/egretbend/egretbend/internal/route/residency"
)

const (
	// maxCopyTargets is the number of instances that are tried for one copy.
	maxCopyTargets = 3
	// askAllMaxInstances is the number of instances up to which all of them
	// are asked for copies. In a larger fleet, only instances that some
	// instance could have selected as a copy target are asked.
	askAllMaxInstances = 64
)

// copyPlacementKey returns the key by which instances are ranked for the copies
// of a step.
func copyPlacementKey(trainer string, step uint64) string { return fmt.Sprintf("%s/%d", trainer, step) }

// copyRegions returns the regions in which the samples of a deployment may be copied.
func (r *Runner) copyRegions(deployment string) residency.Regions {
	doc := r.Configuration.Current()
	if doc == nil {
		return residency.Regions{}
	}
	d, _ := doc.Parsed().Deployment(deployment)
	return d.Regions()
}

// restricted reports whether any deployment or organisation is restricted to regions.
func (r *Runner) restricted() bool {
	doc := r.Configuration.Current()
	return doc != nil && doc.Parsed().Restricted()
}

// copyToOtherDomain copies a finished sample to one instance in another failure
// domain, in a region that the deployment allows. It reports whether that instance answered that the session is fenced.
func (r *Runner) copyToOtherDomain(ctx context.Context, o *openSession, deployment string, s *sample.Sample, raw []byte, age time.Duration, doneBelow uint64) bool {
	view := r.Members.View()
	allowed := r.copyRegions(deployment)
	if allowed.Restricted() {
		part := *view
		part.Alive = slices.DeleteFunc(slices.Clone(view.Alive), func(m member.Member) bool { return !allowed.Allows(m.Region) })
		view = &part
	}
	for _, m := range view.TopOutside(view.Self.FailureDomain, copyPlacementKey(s.Trainer, s.Step), maxCopyTargets) {
		if m.ID == view.Self.ID {
			continue
		}
		var reply copystore.KeepReply
		err := r.callInstance(ctx, m, "Keeper.Keep", copystore.KeepArgs{
			Trainer:   s.Trainer,
			Session:   o.state.Number,
			Key:       s.Key,
			Raw:       raw,
			Oldest:    s.Oldest(),
			Age:       age,
			DoneBelow: doneBelow,
		}, &reply)
		if err == nil {
			r.Metrics.addCopiedBytes(len(raw))
			return reply.Fenced
		}
	}
	// If no other instance is reachable, the sample is delivered without a
	// copy. If this instance dies then, the sample is regenerated.
	r.Metrics.count(fateUncopied)
	return false
}

// gatherCopies collects the copies of a step's finished samples from other
// instances and fences the trainer's earlier sessions there. It reports whether
// an instance knows a later session of the trainer.
func (r *Runner) gatherCopies(ctx context.Context, trainer string, number, step uint64) ([]copystore.Copy, bool) {
	var mu sync.Mutex
	var all []copystore.Copy
	fenced := false
	var wg sync.WaitGroup
	targets := r.copyHolders(trainer, step)
	for _, m := range targets {
		wg.Go(func() {
			copies, f := r.gatherCopiesFrom(ctx, m, trainer, number, step)
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

// copyHolders returns the instances that may hold copies of a step. The instance
// of an earlier session may have been in any failure domain, so in a large fleet
// the list has the first-ranked instances outside of each domain.
func (r *Runner) copyHolders(trainer string, step uint64) []member.Member {
	view := r.Members.View()
	// The instances that may hold copies depend on the deployments of the samples, which are not
	// known here.
	if len(view.Known) <= askAllMaxInstances || r.restricted() {
		return view.Known
	}
	key := copyPlacementKey(trainer, step)
	seen := make(map[string]bool)
	domains := make(map[string]bool)
	var list []member.Member
	for _, m := range view.Alive {
		if domains[m.FailureDomain] {
			continue
		}
		domains[m.FailureDomain] = true
		for _, candidate := range view.TopOutside(m.FailureDomain, key, maxCopyTargets) {
			if !seen[candidate.ID] {
				seen[candidate.ID] = true
				list = append(list, candidate)
			}
		}
	}
	return list
}

// gatherCopiesFrom collects all pages of copies that one instance holds.
func (r *Runner) gatherCopiesFrom(ctx context.Context, m member.Member, trainer string, number, step uint64) ([]copystore.Copy, bool) {
	var copies []copystore.Copy
	for {
		args := copystore.GatherArgs{
			Trainer: trainer,
			Session: number,
			Step:    step,
			Skip:    len(copies),
		}
		var reply copystore.GatherReply
		err := r.callInstance(ctx, m, "Keeper.Gather", args, &reply)
		if err != nil || reply.Fenced {
			return copies, reply.Fenced
		}
		// The reply was in transit for at most the call timeout. Adding all of
		// it to the age keeps a sample from appearing younger than it is.
		for _, c := range reply.Copies {
			c.Age += peer.CallTimeout
			copies = append(copies, c)
		}
		if !reply.More {
			return copies, false
		}
	}
}

// callInstance calls a method of an instance's copy store. For this instance, it
// calls the local store directly.
func (r *Runner) callInstance(ctx context.Context, m member.Member, method string, args, reply any) error {
	if m.ID == r.Members.Self().ID {
		return r.callLocalStore(args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	return r.Client.Call(ctx, m.PeerAddress, method, args, reply)
}

// callLocalStore calls the method of the local copy store that takes args.
func (r *Runner) callLocalStore(args, reply any) error {
	switch a := args.(type) {
	case copystore.KeepArgs:
		return r.CopyStore.Keep(a, reply.(*copystore.KeepReply))
	case copystore.GatherArgs:
		return r.CopyStore.Gather(a, reply.(*copystore.GatherReply))
	}
	return fmt.Errorf("no copy store method takes arguments of type %T", args)
}

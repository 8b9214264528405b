package operator

import (
	"context"
	"net/http"
	"sort"
	"sync"

	"goji.io/pat"

	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// decisionReceiver answers other instances that gather decisions.
type decisionReceiver struct {
	journal *journal.Journal
}

// DecisionArgs asks for the decisions about a request or sample.
type DecisionArgs struct {
	ID string
}

// DecisionReply carries them.
type DecisionReply struct {
	Decisions []journal.Record
}

// Find returns the decisions that this instance remembers.
func (d *decisionReceiver) Find(args DecisionArgs, reply *DecisionReply) error {
	reply.Decisions = d.journal.Remembered(args.ID)
	return nil
}

// decisions answers GET /v1/decisions/{id} with what all instances remember of
// a request or sample, oldest first.
func (s *Server) decisions(w http.ResponseWriter, r *http.Request) {
	id := pat.Param(r, "id")
	all := s.Journal.Remembered(id)
	var mu sync.Mutex
	var wg sync.WaitGroup
	self := s.Members.Self().ID
	for _, m := range s.Members.View().Alive {
		if m.ID == self {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(r.Context(), peer.CallTimeout)
			defer cancel()
			var reply DecisionReply
			if s.Client.Call(ctx, m.PeerAddress, "Decisions.Find", DecisionArgs{
				ID: id,
			}, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, reply.Decisions...)
		})
	}
	wg.Wait()
	if len(all) == 0 {
		problem.Write(w, problem.NotFound.Withf("no instance remembers decisions about %q", id))
		return
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	problem.WriteJSON(w, http.StatusOK, all)
}

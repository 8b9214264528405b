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

// decisionService is the RPC service by which other instances fetch decisions from this
// instance. It is registered as Decisions.
type decisionService struct {
	journal *journal.Journal
}

// DecisionArgs names the request or sample whose decisions are wanted.
type DecisionArgs struct {
	ID string
}

// DecisionReply holds the decisions that an instance remembers.
type DecisionReply struct {
	Decisions []journal.Record
}

// Find returns the decisions about args.ID that this instance remembers.
func (d *decisionService) Find(args DecisionArgs, reply *DecisionReply) error {
	reply.Decisions = d.journal.FindDecisions(args.ID)
	return nil
}

// getDecisions serves GET /v1/decisions/{id}. It returns the decisions about a request or
// sample that the instances remember, oldest first. An instance that does not answer
// within peer.CallTimeout is left out.
func (s *Server) getDecisions(w http.ResponseWriter, r *http.Request) {
	id := pat.Param(r, "id")
	records := s.Journal.FindDecisions(id)
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
			records = append(records, reply.Decisions...)
		})
	}
	wg.Wait()
	if len(records) == 0 {
		problem.Write(w, problem.NotFound.Withf("no instance remembers decisions about %q", id))
		return
	}
	sort.SliceStable(records, func(i, j int) bool { return records[i].At.Before(records[j].At) })
	problem.WriteJSON(w, http.StatusOK, records)
}

package runner

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/forward"
)

// refusingSender is a Sender that refuses this many sends and answers the others.
type refusingSender struct {
	refusals int32
	sent     atomic.Int32
}

// Send implements forward.Sender.
func (s *refusingSender) Send(context.Context, *catalog.Upstream, forward.Request, time.Duration) (*forward.Answer, error) {
	if s.sent.Add(1) <= s.refusals {
		return nil, &engine.RefusedError{}
	}
	return &forward.Answer{Status: http.StatusOK, Signature: "proof"}, nil
}

// Guards against a reward call that counts as failed, or is given up, because upstreams are full:
// it must wait and be sent once for each refusal.
func TestRefusedRewardCallIsKept(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	upstreams := &catalog.Upstreams{Timer: clock}
	upstreams.Update([]catalog.Entry{{ID: "u", Service: "s", Slots: 2}}, nil)
	holder := &catalog.Holder{}
	holder.Update(catalog.Configuration{
		Version: 1,
		Routes: []catalog.Route{{
			Host:     "h",
			Prefix:   "/",
			Kind:     catalog.Idempotent,
			Split:    []catalog.WeightedService{{Service: "s", Weight: 1}},
			Timeout:  time.Hour,
			Attempts: 2,
		}},
	}.WithIndex())
	sender := &refusingSender{refusals: 20}
	scorer := &RewardScorer{
		Config: holder,
		Forwarder: &forward.Forwarder{
			Upstreams: upstreams,
			Sender:    sender,
			Timer:     clock,
			Admission: &admission.Gates{Timer: clock},
		},
		Timer: clock,
	}
	defer clock.Run(10*time.Millisecond, 100*time.Microsecond)()
	signature, err := scorer.Score(context.Background(), &submission.Reward{ID: "r", Host: "h", Path: "/score"}, "", 0)
	is.NoErr(err)
	is.Equal(signature, "proof")
	is.Equal(sender.sent.Load(), int32(21))
}

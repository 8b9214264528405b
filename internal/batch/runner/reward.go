package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/forward"
)

// The pauses before a reward call is repeated.
const (
	rewardRetryPause = 100 * time.Millisecond
	// quarantineRetryPause follows a call that is refused as a quarantined poison
	// request, which upstreams crash on. The quarantine may end sooner than the refusal
	// says.
	quarantineRetryPause = time.Second
	// evacuatedRetryPause follows a call for which all upstreams are in evacuated failure
	// domains. Each attempt writes a line of the log.
	evacuatedRetryPause = time.Second
	// regionRetryPause follows a call that no upstream in an allowed region can serve, which
	// lasts until upstreams come back or the configuration changes.
	regionRetryPause = time.Second
	// maxColdRetryPause bounds the pause after a call that is refused because all upstreams are
	// cold. Its refusal says when they take requests, but one may become warm or grant a share
	// sooner. Each attempt writes two lines of the log.
	maxColdRetryPause = time.Second
)

// RewardScorer scores texts by reward calls that it sends along the routes.
type RewardScorer struct {
	Config    *catalog.Holder
	Forwarder *forward.Forwarder
	Timer     timer.Service
}

// Score implements Scorer. It repeats the call until it succeeds, or until upstreams
// have failed it as often as its route allows. A call that upstreams refuse waits at the
// gate of its service, which sends it again when there is room.
func (s *RewardScorer) Score(ctx context.Context, reward *submission.Reward, organisation string, due timer.Instant) (string, error) {
	failures := 0
	for {
		attempts, pause := 1, rewardRetryPause
		if route, ok := s.Config.Current().Find(reward.Host, reward.Path); ok {
			attempts = max(1, route.Attempts)
			answer, err := s.Forwarder.Do(ctx, forward.Request{
				ID:     reward.ID,
				Method: http.MethodPost,
				Target: reward.Path,
				Host:   reward.Host,
				Body:   reward.Body,
				Route:  route,
				Class:  admission.Reward,
				Due:    due,
				// The call is not made on behalf of the organisation, but its regions apply.
				Regions:            route.Regions.Intersect(s.Config.Current().Organisations.Regions(organisation)),
				RegionOrganisation: organisation,
			})
			if err == nil && answer.Stream != nil {
				_ = answer.Stream.Close()
			}
			if err == nil && answer.Status < http.StatusMultipleChoices {
				return answer.Signature, nil
			}
			if err == nil {
				failures += answer.Failures
			}
			var refused *engine.RefusedError
			if s.Forwarder.Admission != nil && errors.As(err, &refused) && ctx.Err() == nil {
				continue // the gate pauses after a refusal
			}
			if problem.Is(err, problem.Quarantined) {
				pause = quarantineRetryPause
			}
			if len(s.Forwarder.Upstreams.EvacuatedFor(route)) > 0 {
				pause = evacuatedRetryPause
			}
			if forward.AllCold(err) {
				pause = min(max(pause, problem.From(err).RetryAfter), maxColdRetryPause)
			}
			if problem.Is(err, problem.RegionsEmpty) || problem.Is(err, problem.RegionUnavailable) {
				pause = regionRetryPause
			}
		}
		if failures >= attempts {
			return "", fmt.Errorf("%w: %d times", engine.ErrAttemptFailed, failures)
		}
		if !timer.Wait(s.Timer, pause, ctx.Done()) {
			return "", ctx.Err()
		}
	}
}

package forward

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/slowstart"
)

const (
	// maxTakes is how often an upstream is chosen whose permit another request takes first.
	maxTakes = 8
	// claimPoll is the interval at which a request looks for a share that is being claimed.
	claimPoll = 20 * time.Millisecond
	// maxColdPause is the longest time without a look at the upstreams while a request waits:
	// another one may have become warm.
	maxColdPause = 50 * time.Millisecond
)

// errAllCold means that all upstreams are held because they are cold.
var errAllCold = errors.New("the upstreams have just started and take no more requests yet")

// AllCold reports whether a request was refused because all upstreams are held as they are cold.
func AllCold(err error) bool { return errors.Is(err, errAllCold) }

// acquireUpstream chooses an upstream and takes the permit to send to it. If all upstreams are
// held because they are cold, it waits for a permit that comes in time, unless another attempt is
// in flight, and otherwise returns an error with the time of the next one.
func (d *dispatch) acquireUpstream(ctx context.Context) (*catalog.Upstream, slowstart.Permit, error) {
	waiting := false
	defer func() {
		if waiting {
			d.f.SlowStart.EndWait(d.service)
		}
	}()
	for {
		now := d.f.Timer.Now()
		for range maxTakes {
			u := d.chooseUpstream()
			if u == nil {
				break
			}
			if permit, ok := d.f.SlowStart.Take(u, d.req.ID, now); ok {
				return u, permit, nil
			}
		}
		opening, held := d.f.SlowStart.NextOpening(d.service, d.group, now)
		if !held || d.inFlight > 0 {
			return nil, slowstart.Permit{}, d.noUpstream()
		}
		if !waiting {
			waiting = true
			opening.Ahead = d.f.SlowStart.BeginWait(d.service)
		}
		pause := min(maxColdPause, max(claimPoll, opening.At.Sub(now)))
		switch {
		case opening.Pending && d.timeLeft() > 2*claimPoll:
			pause = claimPoll
		case opening.At == 0 || opening.Wait(now) > d.timeLeft()-minTimeLeft:
			return nil, slowstart.Permit{}, d.refuseCold(opening, now)
		}
		if !timer.Wait(d.f.Timer, pause, ctx.Done()) {
			return nil, slowstart.Permit{}, cancelledBeforeRun(ctx)
		}
		if err := d.checkRegions(); err != nil {
			return nil, slowstart.Permit{}, err
		}
		d.refreshGroup()
	}
}

// refuseCold logs a request that is refused because all upstreams are held, and returns its error.
func (d *dispatch) refuseCold(o slowstart.Opening, now timer.Instant) error {
	retryAfter := retryAfterNoUpstream
	if o.At != 0 {
		retryAfter = max(claimPoll, o.Wait(now))
	}
	d.f.Journal.Decision("refuse", log.Fields{
		"request_id":     d.req.ID,
		"service":        d.service,
		"organisation":   d.req.Organisation,
		"class":          d.req.Class.String(),
		"reason":         "cold",
		"waiting":        o.Ahead,
		"retry_after_ms": retryAfter.Milliseconds(),
	})
	return problem.NoUpstream.Withf("service %s: %w", d.service, errAllCold).WithRetryAfter(retryAfter)
}

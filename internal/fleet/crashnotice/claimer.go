package crashnotice

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
)

// Times of claims.
const (
	// claimTTL is the length of the lease of a claim, which bounds how long a lost instance
	// holds it. It also covers the time in which watchers receive the value.
	claimTTL = time.Second
	// claimRenewInterval is the time between two renewals of the lease while the request is
	// sent, and maxClaimHold bounds the renewals.
	claimRenewInterval = claimTTL / 3
	maxClaimHold       = 30 * time.Second
	// maxClaimWait and the fraction 1/claimWaitShare of the time left bound the wait for a
	// claim.
	maxClaimWait   = 300 * time.Millisecond
	claimWaitShare = 3
	// minClaimPoll is the time between the first two reads of a claim that another instance
	// holds. It doubles up to maxClaimPoll, as all instances may wait for one claim.
	minClaimPoll = 10 * time.Millisecond
	maxClaimPoll = 80 * time.Millisecond
	// maxClaimSteps bounds the calls for one claim when other instances keep taking it.
	maxClaimSteps = 40
	// claimCallTimeout bounds one call of the store, which responds within some
	// milliseconds. After a failed call no claims are taken for claimAwayTime, so that
	// requests don't wait for a store that is unavailable.
	claimCallTimeout = 150 * time.Millisecond
	claimAwayTime    = 500 * time.Millisecond
	// minClaimCallTime is the least time for a call: with less, a store that responds as
	// usual would count as unavailable near the deadline.
	minClaimCallTime = 20 * time.Millisecond
	// claimRetryAfter is when callers may retry a request that could not be claimed.
	claimRetryAfter = time.Second
	// claimsPerSecond and claimBurst bound the claims of one instance, so that a flood of
	// suspects leaves the store capacity for other calls.
	claimsPerSecond = 20
	claimBurst      = 20
)

// Claimer lets one instance at a time send a request that is suspected of crashing
// upstreams. A claim is a key of the key-value service under a lease; its value passes on
// the crashes during the request.
type Claimer struct {
	Board *Board
	Store keyvalue.TransactionalStore
	// Prefix precedes the fingerprint in the key of a claim.
	Prefix string
	// Instance identifies this incarnation of the instance.
	Instance string
	Timer    timer.Service
	Journal  *journal.Journal
	Metrics  *ClaimMetrics

	mu sync.Mutex
	// claims holds the claims that this instance holds or takes.
	claims map[fingerprint.Fingerprint]*claim
	// spent is the number of claims of the budget in use at the instant spentAt.
	spent   float64
	spentAt timer.Instant
	// awayUntil is when the store is called again after a failed call.
	awayUntil timer.Instant
}

// claim is a claim that this instance holds or takes. It implements poison.Claim.
type claim struct {
	claimer     *Claimer
	fingerprint fingerprint.Fingerprint
	requestID   string
	// done is closed when this instance no longer holds the claim.
	done     chan struct{}
	lease    uint64
	revision uint64
	// known holds the crashes during the request when the claim was taken, which an answer
	// clears, and cleared those that earlier claims cleared.
	known   []poison.Crash
	cleared []crash.Incarnation
}

// Acquire returns how a request may be sent to one more upstream, and takes a claim if the
// request is suspected. It waits for a claim held elsewhere for at most maxClaimWait.
func (c *Claimer) Acquire(ctx context.Context, req poison.ClaimRequest) poison.ClaimResult {
	v := c.Board.verdictOn(req.Digest)
	if !v.Suspected() {
		return poison.ClaimResult{Permission: poison.Unrestricted}
	}
	f := v.Fingerprint
	started := c.Timer.Now()
	deadline := started.Add(min(maxClaimWait, req.TimeLeft/claimWaitShare))
	for {
		mine, other := c.reserve(f, req.RequestID)
		if other != nil && !c.waitFor(ctx, other.done, deadline) {
			return c.decide("held", req, c.Board.verdictOf(f), poison.Refused, started, nil)
		}
		v = c.Board.verdictOf(f)
		if p := v.Permit(req.Ran); p != poison.Serial {
			c.release(mine)
			return c.decideStop(req, v, started)
		}
		if mine != nil {
			return c.take(ctx, mine, req, started, deadline)
		}
	}
}

// Publish passes on the crashes during a request at once, for requests that are not sent
// again by this instance.
func (c *Claimer) Publish(ctx context.Context, req poison.ClaimRequest) {
	v := c.Board.verdictOn(req.Digest)
	if !v.Suspected() {
		return
	}
	mine, other := c.reserve(v.Fingerprint, req.RequestID)
	if other != nil {
		// The crashes are passed on when the other claim ends.
		return
	}
	defer c.release(mine)
	if c.mayClaim() != nil {
		return
	}
	var item keyvalue.Item
	for range maxClaimSteps {
		current, err := c.read(mine, item)
		if err != nil || current.Held && current.Instance != c.Instance {
			return
		}
		next, err := c.write(ctx, mine, item, false, c.Timer.Now().Add(maxClaimWait))
		if err == nil {
			c.log("published", req.RequestID, c.Board.verdictOf(v.Fingerprint), log.Fields{})
		}
		if err == nil || next.Revision == 0 {
			return
		}
		item = next
	}
}

// Apply applies changes of the claims of all instances.
func (c *Claimer) Apply(changes []keyvalue.Change) {
	for _, change := range changes {
		if change.Removed {
			continue
		}
		var f fingerprint.Fingerprint
		err := f.UnmarshalText([]byte(strings.TrimPrefix(change.Key, c.Prefix)))
		var v claimValue
		if err == nil {
			v, err = decodeClaim(change.Value)
		}
		if err != nil {
			c.Journal.Warn("cannot decode a crash claim", err, log.Fields{
				"key": change.Key,
			})
			continue
		}
		if v.Instance != c.Instance {
			c.Board.applyClaim(f, v)
		}
	}
}

// reserve makes this caller the only one in this instance that takes the claim on a
// request, or returns the claim of the other one.
func (c *Claimer) reserve(f fingerprint.Fingerprint, requestID string) (mine, other *claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.claims[f]; other != nil {
		return nil, other
	}
	if c.claims == nil {
		c.claims = make(map[fingerprint.Fingerprint]*claim)
	}
	mine = &claim{
		claimer:     c,
		fingerprint: f,
		requestID:   requestID,
		done:        make(chan struct{}),
	}
	c.claims[f] = mine
	return mine, nil
}

// release lets other callers in this instance take the claim. It reports whether h was
// reserved; nil is not.
func (c *Claimer) release(h *claim) bool {
	if h == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claims[h.fingerprint] != h {
		return false
	}
	delete(c.claims, h.fingerprint)
	close(h.done)
	return true
}

// waitFor waits until done is closed, and reports whether it is before the deadline and the
// end of ctx.
func (c *Claimer) waitFor(ctx context.Context, done <-chan struct{}, deadline timer.Instant) bool {
	sub := c.Timer.Once(max(0, deadline.Sub(c.Timer.Now())))
	defer sub.Close()
	select {
	case <-done:
		return ctx.Err() == nil
	case <-sub.C:
	case <-ctx.Done():
	}
	return false
}

// Reasons for not calling the store.
var (
	errStoreAway   = errors.New("a call of the key-value service failed a moment ago")
	errBudgetSpent = errors.New("the claims of this instance have reached their limit")
)

// mayClaim takes one claim from the budget. It returns an error if the budget is spent or
// the store is not expected to respond.
func (c *Claimer) mayClaim() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	if now < c.awayUntil {
		return errStoreAway
	}
	c.spent = max(0, c.spent-now.Sub(c.spentAt).Seconds()*claimsPerSecond)
	c.spentAt = now
	if c.spent > claimBurst-1 {
		return errBudgetSpent
	}
	c.spent++
	return nil
}

// decideStop returns the result for a request that is not suspected or must not be sent.
func (c *Claimer) decideStop(req poison.ClaimRequest, v poison.Verdict, started timer.Instant) poison.ClaimResult {
	if p := v.Permit(req.Ran); p == poison.Unrestricted {
		c.Metrics.count("cleared")
		return poison.ClaimResult{Permission: p}
	}
	return c.decide("refused", req, v, poison.Refused, started, nil)
}

// decide logs and counts a decision and returns it without a claim. err is the reason why
// no claim can be taken, or nil.
func (c *Claimer) decide(outcome string, req poison.ClaimRequest, v poison.Verdict, p poison.Permission, started timer.Instant, err error) poison.ClaimResult {
	fields := log.Fields{
		"waited_ms": c.Timer.Now().Sub(started).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
		fields["sent_once"] = p == poison.Once
	}
	c.log(outcome, req.RequestID, v, fields)
	return poison.ClaimResult{
		Permission: p,
		Verdict:    v,
		RetryAfter: max(claimRetryAfter, v.RetryAfter),
	}
}

// log logs and counts a decision on a claim.
func (c *Claimer) log(outcome, requestID string, v poison.Verdict, fields log.Fields) {
	c.Metrics.count(outcome)
	fields["request_id"] = requestID
	fields["outcome"] = outcome
	fields["fingerprint"] = v.Fingerprint.String()
	fields["crashes"] = v.Crashes
	fields["ends"] = v.TotalCrashes
	c.Journal.Decision("crash_claim", fields)
}

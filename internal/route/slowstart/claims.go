package slowstart

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Prefix is the prefix of the keys of shares.
const Prefix = "egretbend/cold/"

const (
	// claimTimeout bounds one transaction.
	claimTimeout = 2 * time.Second
	// claimRetryPause is the pause after a transaction that failed.
	claimRetryPause = 500 * time.Millisecond
	// claimPause is the pause between two transactions.
	claimPause = 100 * time.Millisecond
	// claimSpread is the mean time between the first claims of two instances: the whole fleet
	// learns of a new upstream at the same moment, and the store takes a few thousand writes
	// per second.
	claimSpread = time.Millisecond
)

// Holder is the value of the key of a share.
type Holder struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// Claims obtains the shares that are wanted.
type Claims struct {
	Store     keyvalue.TransactionalStore
	Upstreams *catalog.Upstreams
	Limiter   *Limiter
	Timer     timer.Service
	Journal   *journal.Journal
	Metrics   *Metrics
	// Self identifies this process.
	Self Holder

	// Instances returns the number of instances; nil counts as one.
	Instances func() int

	// known holds the revisions of the keys of the shares that are known to be taken.
	known map[*catalog.Upstream]revisions
}

// revisions are the revisions of the keys of the shares of an upstream, 0 for those that are free.
type revisions [maxShares]uint64

// claim is the attempt to get the first free share of an upstream.
type claim struct {
	u        *catalog.Upstream
	entry    *catalog.Entry
	shares   int
	interval time.Duration
	share    int
}

// ShareKey returns the key of a share of an incarnation of an upstream.
func ShareKey(e *catalog.Entry, share int) string {
	return incarnationPrefix(e) + strconv.Itoa(share)
}

func incarnationPrefix(e *catalog.Entry) string {
	return Prefix + e.Service + "/" + e.ID + "/" + strconv.FormatInt(e.Born, 10) + "/"
}

// Run claims the shares that are wanted until t dies.
func (c *Claims) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		select {
		case <-c.Upstreams.ShareWanted.C():
		case <-t.Dying():
			return nil
		}
		if !timer.Wait(c.Timer, c.startDelay(), t.Dying()) {
			return nil
		}
		for {
			more, err := c.claimOnce(ctx)
			if !more {
				break
			}
			pause := claimPause
			if err != nil {
				pause = claimRetryPause
			}
			if !timer.Wait(c.Timer, pause, t.Dying()) {
				return nil
			}
		}
	}
}

// startDelay returns the delay of the first claim after shares are wanted.
func (c *Claims) startDelay() time.Duration {
	if c.Instances == nil {
		return 0
	}
	return time.Duration(2 * rand.Float64() * float64(c.Instances()) * float64(claimSpread))
}

// claimOnce claims shares in one transaction. It reports whether shares may still be wanted, and an
// error if the outcome of the transaction is not known or the store has failed.
func (c *Claims) claimOnce(ctx context.Context) (more bool, err error) {
	claims := c.wanted(c.Timer.Now())
	if len(claims) == 0 {
		return false, nil
	}
	value, err := json.Marshal(c.Self)
	if err != nil {
		return false, err
	}
	var tx keyvalue.Transaction
	for _, cl := range claims {
		// All shares are compared, so that a conflict shows which ones are taken.
		known := c.known[cl.u]
		for k, revision := range known[:cl.shares] {
			tx.Expects = append(tx.Expects, keyvalue.Condition{Key: ShareKey(cl.entry, k), Revision: revision})
		}
		tx.Writes = append(tx.Writes, keyvalue.Write{Key: ShareKey(cl.entry, cl.share), Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err = c.Store.Commit(ctx, tx)
	now := c.Timer.Now()
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
		for _, cl := range claims {
			c.granted(cl, now)
		}
	case errors.As(err, &conflict):
		for _, cl := range claims {
			c.resolve(cl, conflict, now)
		}
		return true, nil
	default:
		// The transaction may still be carried out. The next one then conflicts with it, and
		// the conflict shows the share.
		for _, cl := range claims {
			c.log(cl, "failed", log.Fields{"error": err.Error()})
		}
	}
	return true, err
}

// wanted returns the claims to make in one transaction, and denies the shares of upstreams that
// have no free one.
func (c *Claims) wanted(now timer.Instant) []claim {
	var claims []claim
	known := make(map[*catalog.Upstream]revisions)
	entries := 0
	for service, g := range c.Upstreams.Groups() {
		terms, ok := c.Limiter.Terms(service)
		if !ok {
			continue
		}
		shares, interval := terms.Shares()
		for _, u := range g.Upstreams {
			if !u.ShareWanted() {
				continue
			}
			if !u.Cold(now) || u.MayHaveRestarted() || u.Leaving() {
				u.ForgetWanted()
				continue
			}
			taken := c.known[u]
			cl := claim{
				u:        u,
				entry:    u.Listed(),
				shares:   shares,
				interval: interval,
				share:    slices.Index(taken[:shares], 0),
			}
			if cl.share < 0 {
				u.DenyShare()
				c.log(cl, "denied", log.Fields{})
				continue
			}
			known[u] = taken
			if entries+shares+1 <= keyvalue.MaxEntries {
				entries += shares + 1
				claims = append(claims, cl)
			}
		}
	}
	c.known = known
	return claims
}

// resolve handles one upstream of a transaction that had a conflict.
func (c *Claims) resolve(cl claim, conflict *keyvalue.ConflictError, now timer.Instant) {
	var taken revisions
	for k := range cl.shares {
		item := conflict.Item(ShareKey(cl.entry, k))
		taken[k] = item.Revision
		var holder Holder
		if item.Revision != 0 && json.Unmarshal(item.Value, &holder) == nil && holder == c.Self {
			// An earlier transaction without an answer, or an earlier list entry of the same
			// incarnation, under which a permit may have been taken just now.
			cl.share = k
			c.granted(cl, now.Add(cl.interval))
			return
		}
	}
	c.known[cl.u] = taken
}

// granted records a share that this instance holds.
func (c *Claims) granted(cl claim, first timer.Instant) {
	cl.u.GrantShare(cl.share, first)
	c.log(cl, "granted", log.Fields{"interval_ms": cl.interval.Milliseconds()})
}

// log logs and counts the outcome of a claim.
func (c *Claims) log(cl claim, outcome string, fields log.Fields) {
	fields["upstream"] = cl.entry.ID
	fields["service"] = cl.entry.Service
	fields["born"] = cl.entry.Born
	fields["share"] = cl.share
	fields["outcome"] = outcome
	c.Metrics.claimEnded(outcome)
	c.Journal.Decision("claim_share", fields)
}

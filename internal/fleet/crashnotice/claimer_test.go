package crashnotice

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// claimer returns a Claimer of the instance with a board of its own.
func (f *boardFixture) claimer(name string) *Claimer {
	return &Claimer{
		Board:    f.board(name),
		Store:    f.store,
		Prefix:   "claim/",
		Instance: name,
		Timer:    f.clock,
		Metrics:  NewClaimMetrics(prometheus.NewRegistry()),
	}
}

// claimFor returns the request for a claim on a body.
func claimFor(body string, ran bool) poison.ClaimRequest {
	return poison.ClaimRequest{
		Digest:   func() fingerprint.Digest { return digestOf(body) },
		Ran:      ran,
		TimeLeft: time.Second,
	}
}

// acquire returns the result of c.Acquire, advancing the clock until it has one.
func (f *boardFixture) acquire(c *Claimer, req poison.ClaimRequest) poison.ClaimResult {
	results := make(chan poison.ClaimResult, 1)
	go func() { results <- c.Acquire(context.Background(), req) }()
	for {
		synctest.Wait()
		select {
		case r := <-results:
			return r
		default:
			f.clock.Advance(time.Millisecond)
		}
	}
}

// inBubble runs a test on a fixture; the clock advances until the goroutines of claims end.
func inBubble(t *testing.T, test func(is *is.I, f *boardFixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newBoardFixture()
		test(is.New(t), f)
		f.clock.Advance(maxClaimHold)
		synctest.Wait()
	})
}

// Guards against a waiting instance that sends a request while another one sends it, or
// that learns nothing of the crash when its turn comes.
func TestClaimIsHeldByOneInstance(t *testing.T) {
	inBubble(t, func(is *is.I, f *boardFixture) {
		a, b := f.claimer("a"), f.claimer("b")
		f.crashUpstreams(a.Board, "deadly", 0, 1)
		f.crashUpstreams(b.Board, "deadly", 1, 1)
		held := f.acquire(a, claimFor("deadly", true))
		is.Equal(held.Permission, poison.Serial)
		started := f.clock.Now()
		is.Equal(f.acquire(b, claimFor("deadly", true)).Permission, poison.Refused)
		is.True(f.clock.Now().Sub(started) <= maxClaimWait)
		f.crashUpstreams(a.Board, "deadly", 2, 1)
		held.Claim.End(false)
		again := f.acquire(b, claimFor("deadly", false))
		is.Equal(again.Permission, poison.Serial)
		is.Equal(again.Verdict.Crashes, 2)      // those of a, one after the other
		is.Equal(again.Verdict.TotalCrashes, 3) // with that of b beside them
		f.crashUpstreams(b.Board, "deadly", 3, 1)
		again.Claim.End(false)
		r := f.acquire(a, claimFor("deadly", true))
		is.Equal(r.Permission, poison.Refused) // no second attempt
		is.Equal(r.Verdict.Crashes, 3)
		is.Equal(testutil.ToFloat64(b.Metrics.claims.WithLabelValues("held")), 1.0)
	})
}

// Guards against callers that take one claim after the other for a request that was
// answered under the first, and against an answer that clears a later crash.
func TestAnsweredClaimClearsWaiting(t *testing.T) {
	inBubble(t, func(is *is.I, f *boardFixture) {
		a, b, c := f.claimer("a"), f.claimer("b"), f.claimer("c")
		for _, x := range []*Claimer{a, b, c} {
			f.crashUpstreams(x.Board, "popular", 0, 1) // all at the same upstream
		}
		f.crashUpstreams(c.Board, "popular", 1, 1)
		held := f.acquire(a, claimFor("popular", true))
		answer(a.Board, "popular")
		held.Claim.End(true)
		synctest.Wait()
		commits := f.store.CallCount(memorystore.Commit)
		is.Equal(f.acquire(b, claimFor("popular", true)).Permission, poison.Unrestricted)
		is.Equal(f.store.CallCount(memorystore.Commit), commits+1) // the one that met a's value
		is.True(!b.Board.hasUnpublished())
		r := f.acquire(c, claimFor("popular", true))
		is.Equal(r.Permission, poison.Serial)
		is.Equal(r.Verdict.TotalCrashes, 1)
		r.Claim.End(false)
	})
}

// Guards against requests that are held or sent on while no claims can be taken.
func TestRequestsWithoutClaim(t *testing.T) {
	faults := map[string]func(f *boardFixture, c *Claimer){
		"store away":      func(f *boardFixture, _ *Claimer) { f.store.Fault = always(memorystore.Down) },
		"requests lost":   func(f *boardFixture, _ *Claimer) { f.store.Fault = always(memorystore.LostBefore) },
		"commits delayed": func(f *boardFixture, _ *Claimer) { f.store.Fault = onlyCommit(memorystore.Delayed) },
		"store hangs":     func(_ *boardFixture, c *Claimer) { c.Store = hangingStore{c.Store} },
		"budget spent":    func(f *boardFixture, c *Claimer) { c.spent, c.spentAt = 1000, f.clock.Now() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(is *is.I, f *boardFixture) {
				c := f.claimer("a")
				fault(f, c)
				f.crashUpstreams(c.Board, "one", 0, 1)
				f.crashUpstreams(c.Board, "two", 1, 2)
				started := f.clock.Now()
				is.Equal(f.acquire(c, claimFor("one", true)).Permission, poison.Refused)
				is.True(f.clock.Now().Sub(started) <= maxClaimWait)
				is.Equal(f.acquire(c, claimFor("one", false)).Permission, poison.Once)
				r := f.acquire(c, claimFor("two", false))
				is.Equal(r.Permission, poison.Refused)
				is.True(r.RetryAfter > 0)
				is.Equal(testutil.ToFloat64(c.Metrics.claims.WithLabelValues("degraded")), 3.0)
				calls := f.store.CallCount(memorystore.Grant)
				f.acquire(c, claimFor("one", true))
				is.Equal(f.store.CallCount(memorystore.Grant), calls) // not called again so soon

				// A write that takes effect late must not block other instances.
				f.store.Fault = nil
				synctest.Wait()
				f.store.ApplyDelayed()
				f.clock.Advance(claimAwayTime)
				other := f.claimer("b")
				f.crashUpstreams(other.Board, "one", 0, 1)
				r = f.acquire(other, claimFor("one", false))
				is.Equal(r.Permission, poison.Serial)
				r.Claim.End(false)
			})
		})
	}
}

// Guards against a claim that takes effect without a response and then blocks everyone,
// its own instance too.
func TestClaimWithLostResponseIsHeld(t *testing.T) {
	inBubble(t, func(is *is.I, f *boardFixture) {
		a, b := f.claimer("a"), f.claimer("b")
		f.crashUpstreams(a.Board, "x", 0, 1)
		f.crashUpstreams(b.Board, "x", 1, 1)
		f.store.Fault = onlyCommit(memorystore.LostAfter)
		r := f.acquire(a, claimFor("x", true))
		is.Equal(r.Permission, poison.Serial)
		is.Equal(f.acquire(b, claimFor("x", false)).Permission, poison.Refused)
		f.store.Fault = always(memorystore.Down)
		r.Claim.End(false) // the claim stays in the store
		synctest.Wait()
		f.store.Fault = nil
		f.clock.Advance(claimAwayTime)
		r = f.acquire(a, claimFor("x", false))
		is.Equal(r.Permission, poison.Serial)
		r.Claim.End(false)
	})
}

// Guards against a claim that ends while its request is still sent, and against one that
// outlives its instance.
func TestClaimIsRenewedAndLapses(t *testing.T) {
	inBubble(t, func(is *is.I, f *boardFixture) {
		a, b := f.claimer("a"), f.claimer("b")
		f.crashUpstreams(a.Board, "x", 0, 1)
		f.crashUpstreams(b.Board, "x", 0, 1)
		f.acquire(a, claimFor("x", false))
		for range 20 {
			f.clock.Advance(claimRenewInterval)
			synctest.Wait()
		}
		is.Equal(f.acquire(b, claimFor("x", false)).Permission, poison.Refused)
		f.store.Fault = func(op memorystore.Operation) memorystore.Fault {
			if op == memorystore.KeepAlive {
				return memorystore.Down
			}
			return memorystore.None
		}
		f.clock.Advance(claimTTL)
		synctest.Wait()
		f.clock.Advance(claimAwayTime)
		r := f.acquire(b, claimFor("x", false))
		is.Equal(r.Permission, poison.Serial)
		r.Claim.End(false)
	})
}

// Guards against a flood of suspects that uses up the calls of the store.
func TestClaimsAreBounded(t *testing.T) {
	inBubble(t, func(is *is.I, f *boardFixture) {
		c := f.claimer("a")
		taken := 0
		for i := range 100 {
			body := fmt.Sprint("deadly ", i)
			f.crashUpstreams(c.Board, body, i, 1)
			if r := f.acquire(c, claimFor(body, false)); r.Claim != nil {
				taken++
				r.Claim.End(false)
			}
		}
		is.True(taken >= claimBurst && taken <= claimBurst+claimsPerSecond)
	})
}

func always(f memorystore.Fault) func(memorystore.Operation) memorystore.Fault {
	return func(memorystore.Operation) memorystore.Fault { return f }
}

func onlyCommit(f memorystore.Fault) func(memorystore.Operation) memorystore.Fault {
	return func(op memorystore.Operation) memorystore.Fault {
		if op == memorystore.Commit {
			return f
		}
		return memorystore.None
	}
}

// hangingStore is a store whose calls end only with their context.
type hangingStore struct{ keyvalue.TransactionalStore }

// Grant implements keyvalue.TransactionalStore.
func (hangingStore) Grant(ctx context.Context, _ time.Duration) (uint64, error) {
	<-ctx.Done()
	return 0, keyvalue.ErrOutcomeUnknown
}

package crashnotice

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing/synctest"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/forward"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// Prefixes of the keys of a replay, and the body of the request that crashes upstreams.
const (
	replayPrefix = "broadcast/"
	replayClaims = replayPrefix + "claim/"
	deadly       = "deadly"
	runTime      = 30 * time.Millisecond
)

// Get implements crash.Secret.
func (fixedSecret) Get(context.Context) ([]byte, error) { return fixedSecret{}.Value(), nil }

// replay is a fleet of forwarders without a network, on a manual clock. It runs in a bubble
// of synctest, where the clock advances only when nothing else can run.
type replay struct {
	clock *timer.Manual
	store *memorystore.Store
	// delay is the time that changes in the store take to all instances.
	delay   time.Duration
	boards  []*Board
	claims  []*Claimer
	senders []*forward.Forwarder
	tomb    tomb.Tomb
	callers sync.WaitGroup
	running int

	// downtime is the time until a crashed upstream is replaced; zero means never.
	downtime time.Duration

	mu        sync.Mutex
	upstreams map[string]*replayUpstream
	deadly    map[string]*deadlyCount
	results   []replayResult
	seen      map[string]uint64
	inbox     []delivery
}

// replayUpstream is an upstream; crashed is closed by its crash.
type replayUpstream struct {
	entry    catalog.Entry
	crashed  chan struct{}
	inFlight int
	replace  timer.Instant // zero while it runs
}

// deadlyCount counts the crashes by a deadly request. late counts its sends after the third
// one, and lateKnown those later than the delay of changes after it.
type deadlyCount struct {
	crashes, late, lateKnown int
	third                    timer.Instant
}

// count returns the counts of a deadly request. r.mu must be held.
func (r *replay) count(body string) *deadlyCount {
	if r.deadly[body] == nil {
		r.deadly[body] = &deadlyCount{}
	}
	return r.deadly[body]
}

// replayResult is the result of one call.
type replayResult struct {
	body string
	err  error
	took time.Duration
	runs int
}

// newReplay returns a fleet with n instances and a number of upstreams with slots each;
// serial turns the claims on.
func newReplay(n, upstreamCount, slots int, serial bool) *replay {
	r := &replay{
		clock:     &timer.Manual{},
		delay:     500 * time.Millisecond,
		upstreams: map[string]*replayUpstream{},
		deadly:    map[string]*deadlyCount{},
		seen:      map[string]uint64{},
	}
	r.clock.Advance(time.Hour)
	r.store = &memorystore.Store{Timer: r.clock}
	var entries []catalog.Entry
	for u := range upstreamCount {
		id := fmt.Sprint("u", u)
		e := catalog.Entry{ID: id, Service: "s", Address: id, Slots: slots}
		entries = append(entries, e)
		r.upstreams[id] = &replayUpstream{entry: e, crashed: make(chan struct{})}
	}
	for i := range n {
		upstreams := &catalog.Upstreams{Timer: r.clock}
		upstreams.Update(entries, nil)
		key := fmt.Sprint(replayPrefix, "crashes/", i)
		b := &Board{
			Secret:        fixedSecret{},
			Key:           key,
			Publisher:     &KeyPublisher{Store: r.store, Name: key, Timer: r.clock},
			InstanceCount: func() int { return n },
			Timer:         r.clock,
		}
		c := &Claimer{Board: b, Store: r.store, Prefix: replayClaims, Instance: fmt.Sprint(i), Timer: r.clock}
		f := &forward.Forwarder{
			Upstreams:      upstreams,
			Sender:         r,
			Timer:          r.clock,
			CrashReporter:  &crash.Reporter{Secret: fixedSecret{}, Timer: r.clock, Dial: r.dial, OnCrash: b.ReportCrash},
			PoisonDetector: b,
		}
		if serial {
			f.CrashClaims = c
		}
		r.boards, r.claims, r.senders = append(r.boards, b), append(r.claims, c), append(r.senders, f)
		r.tomb.Go(func() error { return b.Run(&r.tomb) })
	}
	return r
}

// dial connects to an upstream that has not crashed.
func (r *replay) dial(_ context.Context, id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upstreams[id].replace != 0 {
		return syscall.ECONNREFUSED
	}
	return nil
}

// runsKey is the context key of the number of runs of a call.
type runsKey struct{}

// Send implements forward.Sender. A deadly request crashes its upstream.
func (r *replay) Send(ctx context.Context, to *catalog.Upstream, req forward.Request, _ time.Duration) (*forward.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, body := r.upstreams[to.ID], string(req.Body)
	switch {
	case u.replace != 0, uint64(u.entry.Born) != to.Incarnation:
		return nil, engine.ErrNotSent
	case u.inFlight >= u.entry.Slots:
		return nil, &engine.RefusedError{}
	}
	ctx.Value(runsKey{}).(*atomic.Int32).Add(1)
	isDeadly := strings.HasPrefix(body, deadly)
	if c := r.count(body); isDeadly && c.crashes >= 3 {
		c.late++
		if r.clock.Now().Sub(c.third) > r.delay+coalesceDelay {
			c.lateKnown++
		}
	}
	u.inFlight++
	crashed := u.crashed
	r.mu.Unlock()
	sub := r.clock.Once(runTime)
	defer sub.Close()
	var err error
	select {
	case <-crashed:
		err = engine.ErrConnectionLost
	case <-ctx.Done():
		err = ctx.Err()
	case <-sub.C:
	}
	r.mu.Lock()
	u.inFlight--
	switch {
	case err != nil:
		return nil, err
	case !isDeadly:
		return &forward.Answer{Status: http.StatusOK}, nil
	}
	if u.crashed == crashed && u.replace == 0 {
		c := r.count(body)
		if c.crashes++; c.crashes == 3 {
			c.third = r.clock.Now()
		}
		u.replace = r.clock.Now().Add(max(r.downtime, 1))
		close(crashed)
	}
	return nil, engine.ErrConnectionLost
}

// replaceCrashed starts new incarnations of the upstreams that crashed.
func (r *replay) replaceCrashed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.upstreams {
		if r.downtime == 0 || u.replace == 0 || r.clock.Now() < u.replace {
			continue
		}
		u.entry.Born++
		u.crashed, u.replace = make(chan struct{}), 0
		for _, f := range r.senders {
			f.Upstreams.Update([]catalog.Entry{u.entry}, nil)
		}
	}
}

// call lets a caller send a request to an instance at a time after the start.
func (r *replay) call(at time.Duration, instance int, body string) {
	r.running++
	r.callers.Go(func() {
		timer.Wait(r.clock, at, nil)
		started, runs := r.clock.Now(), new(atomic.Int32)
		_, err := r.senders[instance].Do(context.WithValue(context.Background(), runsKey{}, runs), forward.Request{
			ID:    fmt.Sprint(body, at),
			Body:  []byte(body),
			Route: catalog.Route{Name: "r", Kind: catalog.Idempotent, Split: []catalog.WeightedService{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, Objective: 400 * ms, Attempts: 2},
		})
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
		r.results = append(r.results, replayResult{body: body, err: err, took: r.clock.Now().Sub(started), runs: int(runs.Load())})
	})
}

// run advances the clock until all callers have their result and nothing runs any more.
func (r *replay) run() {
	stopping := false
	for rest := 4000; rest > 0; rest-- {
		synctest.Wait()
		r.mu.Lock()
		if r.running > 0 {
			rest = 4000
		}
		r.mu.Unlock()
		if rest < 100 && !stopping {
			stopping = true
			r.tomb.Kill(nil)
		}
		r.clock.Advance(time.Millisecond)
		r.deliver()
		r.replaceCrashed()
	}
	r.callers.Wait()
	_ = r.tomb.Wait()
}

// deliver passes the changes in the store to all instances after the delay.
func (r *replay) deliver() {
	now := r.clock.Now()
	listing, err := r.store.Range(context.Background(), replayPrefix, keyvalue.Fresh)
	for _, item := range listing.Items {
		if err == nil && r.seen[item.Key] < item.Revision {
			r.seen[item.Key] = item.Revision
			r.inbox = append(r.inbox, delivery{at: now.Add(r.delay), change: keyvalue.Change{Item: item}})
		}
	}
	for len(r.inbox) > 0 && now >= r.inbox[0].at {
		changes := []keyvalue.Change{r.inbox[0].change}
		for i := range r.boards {
			if strings.HasPrefix(changes[0].Key, replayClaims) {
				r.claims[i].Apply(changes)
			} else {
				r.boards[i].Apply(changes)
			}
		}
		r.inbox = r.inbox[1:]
	}
}

// checkOutcomes checks that "not run" is reported only for requests that did not run.
func (r *replay) checkOutcomes(fail func(format string, args ...any)) {
	for _, result := range r.results {
		if result.err != nil && result.runs > 0 && problem.From(result.err).Kind.Outcome == problem.NotRun {
			fail("a request that ran is reported as not run: %v", result.err)
		}
	}
}

package crashnotice

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// Times and limits of a simulated fleet.
const (
	simStep     = 5 * time.Millisecond
	simRunTime  = 30 * time.Millisecond
	simDowntime = 1500 * time.Millisecond
	// simContactTime is how long after the third crash of a request, and after its own
	// start or cut, an instance may still send the request on.
	simContactTime = 3 * time.Second
	// simMaxAttempts is the number of upstreams that a request may be sent to.
	simMaxAttempts = 2
)

// fleetPlan is the configuration of a simulation.
type fleetPlan struct {
	seed      uint64
	instances int
	upstreams int
	// poisonCount is the number of different poison requests, which crash every upstream.
	poisonCount int
	// interval is the mean time between two arrivals of each poison request.
	interval time.Duration
	// plain is the number of requests per second that crash nothing, each with another
	// body.
	plain    int
	duration time.Duration
	// restarts is the number of instances that restart per second, cuts is the number of
	// instances cut off from notices per second, and crashes is the number of upstreams per
	// second that crash for another reason than a request.
	restarts, cuts, crashes float64
	// popular is the number of plain requests per second with the same body.
	popular int
	// outages is how many times per second half or all of the upstreams crash together.
	outages float64
	// isolated keeps all notices from the other instances.
	isolated bool
}

// simInstance is a simulated instance.
type simInstance struct {
	name  string
	board *Board
	// cutUntil is the end of the last cut, in which no notices arrive; disturbedAt is the
	// end of the last cut or the last restart.
	cutUntil, disturbedAt timer.Instant
	inbox                 []delivery
	// writeDue is when the next write is due; zero if none is.
	writeDue timer.Instant
}

// delivery is a change on its way to an instance.
type delivery struct {
	at     timer.Instant
	change keyvalue.Change
}

// simUpstream is a simulated upstream.
type simUpstream struct {
	// starts counts its incarnations.
	starts    int
	downUntil timer.Instant
	runs      []*simRequest
}

// simRequest is a request that an instance handles.
type simRequest struct {
	poisonID int // number of the poison request; 0 for a plain one
	digest   fingerprint.Digest
	instance *simInstance
	verdict  poison.Verdict
	tried    []int
	// crashes counts the upstreams that crashed while they ran the request, retried the
	// retries by the client.
	crashes int
	retried int
	endsAt  timer.Instant
	// upstream is the index of the last upstream that it was sent to.
	upstream int
}

// simFleet is a simulated fleet.
type simFleet struct {
	fleetPlan
	rng       *rand.Rand
	clock     *timer.Manual
	store     *memorystore.Store
	instances []*simInstance
	upstreams []*simUpstream
	running   []*simRequest
	// retries holds the requests that clients retry, by the time of the retry.
	retries map[timer.Instant][]*simRequest

	// crashCount counts the upstreams that each poison request crashed, thirdCrash
	// holds the time of the third one, and lateSends counts the sends that simContactTime
	// does not allow.
	crashCount map[int]int
	thirdCrash map[int]timer.Instant
	lateSends  map[int]int
	plainCount int
	// popularCount counts the popular requests. served and refused include them.
	popularCount int
	served       int
	refused      int
	writes       int
	// maxKnown is the largest number of upstream crashes that an instance knew of.
	maxKnown int
}

func newSimFleet(p fleetPlan) *simFleet {
	f := &simFleet{
		fleetPlan:  p,
		rng:        rand.New(rand.NewPCG(p.seed, 1)),
		clock:      &timer.Manual{},
		retries:    map[timer.Instant][]*simRequest{},
		crashCount: map[int]int{},
		thirdCrash: map[int]timer.Instant{},
		lateSends:  map[int]int{},
	}
	f.clock.Advance(time.Hour)
	f.store = &memorystore.Store{
		Timer: f.clock,
	}
	for i := range p.instances {
		in := &simInstance{
			name: fmt.Sprint("i", i),
		}
		f.startInstance(in)
		in.disturbedAt = 0
		f.instances = append(f.instances, in)
	}
	for range p.upstreams {
		f.upstreams = append(f.upstreams, &simUpstream{})
	}
	return f
}

// fixedSecret is a Secret that is the same at all instances.
type fixedSecret struct{}

func (fixedSecret) Value() []byte { return []byte("secret") }

// startInstance starts a new incarnation of an instance, which reads the stored notices.
func (f *simFleet) startInstance(in *simInstance) {
	key := fmt.Sprint("crashes/", in.name, "/", f.clock.Now())
	in.board = &Board{
		Secret: fixedSecret{},
		Key:    key,
		Publisher: &KeyPublisher{
			Store: f.store,
			Name:  key,
			Timer: f.clock,
		},
		InstanceCount: func() int { return f.fleetPlan.instances },
		RunsTrial: func(p fingerprint.Fingerprint) bool {
			best := f.instances[0]
			for _, other := range f.instances {
				if member.Score(other.name, p.String()) > member.Score(best.name, p.String()) {
					best = other
				}
			}
			return best == in
		},
		Timer: f.clock,
	}
	in.inbox = nil
	in.writeDue = 0
	in.disturbedAt = f.clock.Now()
	listing, err := f.store.Range(context.Background(), "crashes/", keyvalue.Fresh)
	if err != nil {
		panic(err)
	}
	for _, item := range listing.Items {
		f.deliver(in, keyvalue.Change{Item: item})
	}
}

// deliver passes a change to an instance after a random delay, and not before its cut
// ends.
func (f *simFleet) deliver(in *simInstance, c keyvalue.Change) {
	if f.isolated {
		return
	}
	at := f.clock.Now().Add(20*time.Millisecond + time.Duration(f.rng.Int64N(int64(600*time.Millisecond))))
	if at < in.cutUntil {
		at = in.cutUntil
	}
	in.inbox = append(in.inbox, delivery{
		at:     at,
		change: c,
	})
}

// stepInstance delivers the changes that are due to an instance and makes its write if one
// is due. It does what Board.Run does on a real clock.
func (f *simFleet) stepInstance(in *simInstance) {
	now := f.clock.Now()
	in.inbox = slices.DeleteFunc(in.inbox, func(d delivery) bool {
		if d.at > now {
			return false
		}
		in.board.Apply([]keyvalue.Change{d.change})
		return true
	})
	select {
	case <-in.board.wake.C():
		if in.writeDue == 0 {
			in.writeDue = now.Add(coalesceDelay + in.board.limiter.reserve(now, f.fleetPlan.instances))
		}
	default:
	}
	if in.writeDue == 0 || now < in.writeDue {
		return
	}
	in.writeDue = 0
	if !in.board.hasUnpublished() {
		return
	}
	if err := in.board.publishNow(context.Background()); err != nil {
		panic(err)
	}
	f.writes++
	item, err := f.store.Get(context.Background(), in.board.Key)
	if err != nil {
		panic(err)
	}
	for _, other := range f.instances {
		f.deliver(other, keyvalue.Change{Item: item})
	}
}

// run runs the simulation.
func (f *simFleet) run() {
	end := f.clock.Now().Add(f.duration)
	next := make([]timer.Instant, f.poisonCount)
	for i := range next {
		next[i] = f.clock.Now().Add(time.Duration(f.rng.Int64N(int64(2 * time.Second))))
	}
	chance := func(perSecond float64) bool { return f.rng.Float64() < perSecond*simStep.Seconds() }
	for f.clock.Now() < end {
		f.clock.Advance(simStep)
		now := f.clock.Now()
		for _, in := range f.instances {
			f.stepInstance(in)
			f.maxKnown = max(f.maxKnown, in.board.evidence.Len())
		}
		for i := range next {
			if now >= next[i] {
				next[i] = now.Add(f.interval/2 + time.Duration(f.rng.Int64N(int64(f.interval))))
				f.arrive(i+1, fmt.Sprint("deadly-", i), 0)
			}
		}
		if chance(float64(f.plain)) {
			f.plainCount++
			f.arrive(0, fmt.Sprint("plain-", f.plainCount), 0)
		}
		if chance(float64(f.popular)) {
			f.popularCount++
			f.arrive(0, "popular", 0)
		}
		if chance(f.outages) {
			n := len(f.upstreams)
			if f.rng.IntN(3) > 0 {
				n /= 2
			}
			for i := range f.upstreams[:n] {
				f.crashUpstream(i)
			}
		}
		if chance(f.restarts) {
			f.startInstance(f.instances[f.rng.IntN(len(f.instances))])
		}
		if chance(f.cuts) {
			in := f.instances[f.rng.IntN(len(f.instances))]
			in.cutUntil, in.disturbedAt = now.Add(4*time.Second), now.Add(4*time.Second)
		}
		if chance(f.crashes) {
			f.crashUpstream(f.rng.IntN(len(f.upstreams)))
		}
		f.finish(now)
		for _, q := range f.retries[now] {
			f.arrive(0, string(q.digest[:]), q.retried)
		}
		delete(f.retries, now)
	}
}

// arrive lets a request arrive at a random instance.
func (f *simFleet) arrive(poisonID int, body string, retried int) {
	q := &simRequest{
		poisonID: poisonID,
		instance: f.instances[f.rng.IntN(len(f.instances))],
		retried:  retried,
	}
	copy(q.digest[:], body)
	q.verdict = q.instance.board.Judge(func() fingerprint.Digest { return q.digest })
	if q.verdict.Quarantined() {
		if poisonID == 0 {
			f.refused++
		}
		return
	}
	f.send(q)
}

// send sends a request to a random upstream that is up, has a free slot and has not run
// it before.
func (f *simFleet) send(q *simRequest) {
	now := f.clock.Now()
	var up []int
	for i, u := range f.upstreams {
		if now >= u.downUntil && len(u.runs) < 6 && !slices.Contains(q.tried, i) {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		f.retryLater(q)
		return
	}
	q.upstream = up[f.rng.IntN(len(up))]
	q.tried = append(q.tried, q.upstream)
	q.endsAt = now.Add(simRunTime)
	f.upstreams[q.upstream].runs = append(f.upstreams[q.upstream].runs, q)
	f.running = append(f.running, q)
	if q.poisonID == 0 {
		return
	}
	if at, ok := f.thirdCrash[q.poisonID]; ok && now.Sub(at) > simContactTime && now.Sub(q.instance.disturbedAt) > simContactTime {
		f.lateSends[q.poisonID]++
	}
}

// finish ends the runs whose time is over: a poison request crashes its upstream, any
// other one is answered.
func (f *simFleet) finish(now timer.Instant) {
	for _, q := range slices.Clone(f.running) {
		if now < q.endsAt || !slices.Contains(f.running, q) {
			continue
		}
		if q.poisonID > 0 {
			f.crashCount[q.poisonID]++
			if f.crashCount[q.poisonID] == 3 {
				f.thirdCrash[q.poisonID] = now
			}
			f.crashUpstream(q.upstream)
			continue
		}
		f.drop(q)
		f.served++
		q.instance.board.RecordAnswer(func() fingerprint.Digest { return q.digest })
	}
}

// drop removes a request from its upstream.
func (f *simFleet) drop(q *simRequest) {
	u := f.upstreams[q.upstream]
	u.runs = slices.DeleteFunc(u.runs, func(x *simRequest) bool { return x == q })
	f.running = slices.DeleteFunc(f.running, func(x *simRequest) bool { return x == q })
}

// crashUpstream crashes an upstream. The requests that it ran are sent to another upstream
// if the verdict allows it.
func (f *simFleet) crashUpstream(index int) {
	u := f.upstreams[index]
	now := f.clock.Now()
	if now < u.downUntil {
		return
	}
	u.downUntil = now.Add(simDowntime)
	u.starts++
	incarnation := crash.IncarnationOf(fmt.Sprint("u", index), uint64(u.starts))
	for _, q := range slices.Clone(u.runs) {
		f.drop(q)
		q.crashes++
		q.instance.board.RecordCrash(poison.Crash{
			Incarnation: incarnation,
			Fingerprint: q.digest.Keyed(fixedSecret{}.Value()),
			At:          now,
			Consecutive: q.verdict.Crashes + q.crashes,
		})
		if len(q.tried) < simMaxAttempts && q.verdict.MayRetry(q.crashes, 0) {
			f.send(q)
			continue
		}
		f.retryLater(q)
	}
}

// retryLater schedules the one retry that the client of a plain request makes.
func (f *simFleet) retryLater(q *simRequest) {
	if q.poisonID == 0 && q.retried == 0 {
		q.retried++
		at := f.clock.Now().Add(20 * simStep)
		f.retries[at] = append(f.retries[at], q)
	}
}

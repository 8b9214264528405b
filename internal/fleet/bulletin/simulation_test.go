package bulletin

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
	"github.com/egretbend/egretbend/internal/route/suspect"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// The times of a simulated fleet.
const (
	simStep  = 5 * time.Millisecond
	simWork  = 30 * time.Millisecond
	simDown  = 1500 * time.Millisecond
	contact  = 3 * time.Second
	simTries = 2
)

// fleetPlan says what is simulated.
type fleetPlan struct {
	seed      uint64
	instances int
	upstreams int
	deadly    int
	// every is how often each deadly request comes again, plain how many others come in
	// a second.
	every  time.Duration
	plain  int
	length time.Duration
	// restarts, cuts and ends are how many instances restart or hear nothing for a while,
	// and how many upstreams end by themselves, in a second.
	restarts, cuts, ends float64
	// popular is how many callers ask for the same thing in a second, losses how many times
	// a second half of the upstreams end together, or all.
	popular int
	losses  float64
	// alone keeps instances from hearing of each other.
	alone bool
}

// simInstance is one instance.
type simInstance struct {
	name  string
	board *Board
	// cutUntil is until when it hears nothing, hurt when anything was done to it last.
	cutUntil, hurt timer.Instant
	inbox          []delivery
	due            timer.Instant
}

type delivery struct {
	at     timer.Instant
	change keyvalue.Change
}

type simUpstream struct {
	starts int
	until  timer.Instant
	runs   []*simRequest
}

// simRequest is a request on its way.
type simRequest struct {
	deadly  int // 0 for a plain one
	sum     fingerprint.Sum
	at      *simInstance
	verdict suspect.Verdict
	tried   []int
	cut     int
	client  int
	ends    timer.Instant
	on      int
}

// simFleet is a simulated fleet.
type simFleet struct {
	fleetPlan
	r         *rand.Rand
	clock     *timer.Manual
	store     *space.Space
	instances []*simInstance
	upstreams []*simUpstream
	running   []*simRequest
	later     map[timer.Instant][]*simRequest

	crashes map[int]int
	third   map[int]timer.Instant
	late    map[int]int
	plainN  int
	// popularN counts the requests for what is popular, which are among the served and
	// turned as well.
	popularN int
	served   int
	turned   int
	writes   int
	most     int
}

func newSimFleet(p fleetPlan) *simFleet {
	f := &simFleet{
		fleetPlan: p,
		r:         rand.New(rand.NewPCG(p.seed, 1)),
		clock:     &timer.Manual{},
		later:     map[timer.Instant][]*simRequest{},
		crashes:   map[int]int{},
		third:     map[int]timer.Instant{},
		late:      map[int]int{},
	}
	f.clock.Advance(time.Hour)
	f.store = &space.Space{
		Timer: f.clock,
	}
	for i := range p.instances {
		in := &simInstance{
			name: fmt.Sprint("i", i),
		}
		f.begin(in)
		in.hurt = 0
		f.instances = append(f.instances, in)
	}
	for range p.upstreams {
		f.upstreams = append(f.upstreams, &simUpstream{})
	}
	return f
}

// known is a secret that all know.
type known struct{}

func (known) Known() []byte { return []byte("secret") }

// begin begins an incarnation of an instance, which reads what the store has.
func (f *simFleet) begin(in *simInstance) {
	key := fmt.Sprint("crashes/", in.name, "/", f.clock.Now())
	in.board = &Board{
		Secret: known{},
		Key:    key,
		Poster: &Key{
			Space: f.store,
			Name:  key,
			Timer: f.clock,
		},
		Instances: func() int { return f.fleetPlan.instances },
		Chosen: func(p fingerprint.Print) bool {
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
	in.due = 0
	in.hurt = f.clock.Now()
	listing, err := f.store.Range(context.Background(), "crashes/", keyvalue.Fresh)
	if err != nil {
		panic(err)
	}
	for _, item := range listing.Items {
		f.deliver(in, keyvalue.Change{Item: item})
	}
}

// deliver lets an instance hear of a change after a while.
func (f *simFleet) deliver(in *simInstance, c keyvalue.Change) {
	if f.alone {
		return
	}
	at := f.clock.Now().Add(20*time.Millisecond + time.Duration(f.r.Int64N(int64(600*time.Millisecond))))
	if at < in.cutUntil {
		at = in.cutUntil
	}
	in.inbox = append(in.inbox, delivery{
		at:     at,
		change: c,
	})
}

// hear lets an instance hear and tell.
func (f *simFleet) hear(in *simInstance) {
	now := f.clock.Now()
	in.inbox = slices.DeleteFunc(in.inbox, func(d delivery) bool {
		if d.at > now {
			return false
		}
		in.board.Take([]keyvalue.Change{d.change})
		return true
	})
	select {
	case <-in.board.wake.C():
		if in.due == 0 {
			in.due = now.Add(gather + in.board.pace.wait(now, f.fleetPlan.instances))
		}
	default:
	}
	if in.due == 0 || now < in.due {
		return
	}
	in.due = 0
	if !in.board.untold() {
		return
	}
	if err := in.board.write(context.Background()); err != nil {
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

// run plays the plan.
func (f *simFleet) run() {
	ends := f.clock.Now().Add(f.length)
	next := make([]timer.Instant, f.deadly)
	for i := range next {
		next[i] = f.clock.Now().Add(time.Duration(f.r.Int64N(int64(2 * time.Second))))
	}
	chance := func(perSecond float64) bool { return f.r.Float64() < perSecond*simStep.Seconds() }
	for f.clock.Now() < ends {
		f.clock.Advance(simStep)
		now := f.clock.Now()
		for _, in := range f.instances {
			f.hear(in)
			f.most = max(f.most, in.board.evidence.Len())
		}
		for i := range next {
			if now >= next[i] {
				next[i] = now.Add(f.every/2 + time.Duration(f.r.Int64N(int64(f.every))))
				f.arrive(i+1, fmt.Sprint("deadly-", i), 0)
			}
		}
		if chance(float64(f.plain)) {
			f.plainN++
			f.arrive(0, fmt.Sprint("plain-", f.plainN), 0)
		}
		if chance(float64(f.popular)) {
			f.popularN++
			f.arrive(0, "popular", 0)
		}
		if chance(f.losses) {
			n := len(f.upstreams)
			if f.r.IntN(3) > 0 {
				n /= 2
			}
			for i := range f.upstreams[:n] {
				f.end(i)
			}
		}
		if chance(f.restarts) {
			f.begin(f.instances[f.r.IntN(len(f.instances))])
		}
		if chance(f.cuts) {
			in := f.instances[f.r.IntN(len(f.instances))]
			in.cutUntil, in.hurt = now.Add(4*time.Second), now.Add(4*time.Second)
		}
		if chance(f.ends) {
			f.end(f.r.IntN(len(f.upstreams)))
		}
		f.finish(now)
		for _, q := range f.later[now] {
			f.arrive(0, string(q.sum[:]), q.client)
		}
		delete(f.later, now)
	}
}

// arrive lets a request arrive at any instance.
func (f *simFleet) arrive(deadly int, body string, client int) {
	q := &simRequest{
		deadly: deadly,
		at:     f.instances[f.r.IntN(len(f.instances))],
		client: client,
	}
	copy(q.sum[:], body)
	q.verdict = q.at.board.Judge(func() fingerprint.Sum { return q.sum })
	if q.verdict.Refused() {
		if deadly == 0 {
			f.turned++
		}
		return
	}
	f.send(q)
}

// send sends a request to an upstream that is up.
func (f *simFleet) send(q *simRequest) {
	now := f.clock.Now()
	var up []int
	for i, u := range f.upstreams {
		if now >= u.until && len(u.runs) < 6 && !slices.Contains(q.tried, i) {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		f.again(q)
		return
	}
	q.on = up[f.r.IntN(len(up))]
	q.tried = append(q.tried, q.on)
	q.ends = now.Add(simWork)
	f.upstreams[q.on].runs = append(f.upstreams[q.on].runs, q)
	f.running = append(f.running, q)
	if q.deadly == 0 {
		return
	}
	if at, ok := f.third[q.deadly]; ok && now.Sub(at) > contact && now.Sub(q.at.hurt) > contact {
		f.late[q.deadly]++
	}
}

// finish ends the runs that are over.
func (f *simFleet) finish(now timer.Instant) {
	for _, q := range slices.Clone(f.running) {
		if now < q.ends || !slices.Contains(f.running, q) {
			continue
		}
		if q.deadly > 0 {
			f.crashes[q.deadly]++
			if f.crashes[q.deadly] == 3 {
				f.third[q.deadly] = now
			}
			f.end(q.on)
			continue
		}
		f.drop(q)
		f.served++
		q.at.board.Answered(func() fingerprint.Sum { return q.sum })
	}
}

func (f *simFleet) drop(q *simRequest) {
	u := f.upstreams[q.on]
	u.runs = slices.DeleteFunc(u.runs, func(x *simRequest) bool { return x == q })
	f.running = slices.DeleteFunc(f.running, func(x *simRequest) bool { return x == q })
}

// end ends an upstream with all that it runs.
func (f *simFleet) end(at int) {
	u := f.upstreams[at]
	now := f.clock.Now()
	if now < u.until {
		return
	}
	u.until = now.Add(simDown)
	u.starts++
	life := crash.IncarnationOf(fmt.Sprint("u", at), uint64(u.starts))
	for _, q := range slices.Clone(u.runs) {
		f.drop(q)
		q.cut++
		q.at.board.Ended(suspect.Crash{
			Incarnation: life,
			Print:       q.sum.Under(known{}.Known()),
			At:          now,
			Row:         q.verdict.Crashes + q.cut,
		})
		if len(q.tried) < simTries && q.verdict.MayRepeat(q.cut, 0) {
			f.send(q)
			continue
		}
		f.again(q)
	}
}

// again lets the client of a plain request come once more.
func (f *simFleet) again(q *simRequest) {
	if q.deadly == 0 && q.client == 0 {
		q.client++
		at := f.clock.Now().Add(20 * simStep)
		f.later[at] = append(f.later[at], q)
	}
}

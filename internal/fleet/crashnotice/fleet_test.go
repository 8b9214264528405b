package crashnotice

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// Guards against a poison request that is refused only by the instance that observed its
// crashes, while all others still send it on. Links are cut and instances restart
// meanwhile.
func TestFleetRefusesCrashingRequests(t *testing.T) {
	for _, n := range []int{20, 100, 300} {
		for seed := range uint64(3) {
			p := fleetPlan{
				seed:        seed,
				instances:   n,
				upstreams:   11,
				poisonCount: 4,
				interval:    400 * time.Millisecond,
				plain:       60,
				duration:    40 * time.Second,
				restarts:    0.5,
				cuts:        0.5,
				crashes:     0.3,
			}
			f := newSimFleet(p)
			f.run()
			t.Logf("%d instances, seed %d: crashes %v, late sends %v, plain %d served %d refused %d, writes %d, crashes known %d",
				n, seed, f.crashCount, f.lateSends, f.plainCount, f.served, f.refused, f.writes, f.maxKnown)
			for poisonID, lateSends := range f.lateSends {
				if lateSends > 3 {
					t.Errorf("%d instances, seed %d: poison request %d was sent late %d times", n, seed, poisonID, lateSends)
				}
			}
			if f.refused > 0 {
				t.Errorf("%d instances, seed %d: %d plain requests were refused", n, seed, f.refused)
			}
		}
	}
}

// Guards against refusing a request that many callers send: when many upstreams are lost
// together, most of them run it, although it is not the cause.
func TestFleetServesPopularRequests(t *testing.T) {
	for seed := range uint64(6) {
		f := newSimFleet(fleetPlan{
			seed:      seed,
			instances: 20,
			upstreams: 11,
			plain:     20,
			popular:   60,
			outages:   0.2,
			crashes:   0.5,
			duration:  40 * time.Second,
		})
		f.run()
		t.Logf("seed %d: plain %d popular %d served %d refused %d", seed, f.plainCount, f.popularCount, f.served, f.refused)
		if f.refused > 0 {
			t.Errorf("seed %d: %d requests were refused", seed, f.refused)
		}
	}
}

// Guards against a simulation that proves nothing: without notices from each other,
// instances must send a poison request on.
func TestIsolatedInstancesDoNotRefuse(t *testing.T) {
	f := newSimFleet(fleetPlan{
		instances:   20,
		upstreams:   11,
		poisonCount: 1,
		interval:    400 * time.Millisecond,
		plain:       20,
		duration:    30 * time.Second,
		isolated:    true,
	})
	f.run()
	t.Logf("crashes %v, late sends %v", f.crashCount, f.lateSends)
	if f.lateSends[1] <= 3 {
		t.Errorf("poison request 1 was sent late %d times only", f.lateSends[1])
	}
}

// replaySmallService replays 9 s of a service with 4 upstreams, which restart within
// 1.5 s. Three deadly requests arrive every second, each at one to three of 20 instances at
// once, and again at another instance after 0.3 s, as clients retry. It returns the fleet
// and how many of the other requests were refused as suspected.
func replaySmallService(t *testing.T, seed uint64, serial bool) (r *replay, innocent, refused int) {
	synctest.Test(t, func(*testing.T) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r = newReplay(20, 4, 6, serial)
		r.downtime = simDowntime
		for i := range 3 {
			for at := time.Duration(i) * 3 * time.Second; at < 9*time.Second; at += 500*ms + time.Duration(rng.Int64N(int64(time.Second))) {
				for range 1 + rng.IntN(3) {
					first := at + time.Duration(rng.IntN(25))*ms
					r.call(first, rng.IntN(20), fmt.Sprint(deadly, i))
					r.call(first+300*ms, rng.IntN(20), fmt.Sprint(deadly, i))
				}
			}
		}
		for i := range 540 {
			body := "popular"
			if i%3 > 0 {
				body = fmt.Sprint("plain", i)
			}
			r.call(time.Duration(rng.Int64N(int64(9*time.Second))), rng.IntN(20), body)
		}
		r.run()
		for _, result := range r.results {
			if strings.HasPrefix(result.body, deadly) {
				continue
			}
			innocent++
			if problem.Is(result.err, problem.Quarantined) {
				refused++
			}
		}
	})
	return r, innocent, refused
}

// Guards against a small service that is kept down by requests whose sends overlap, and
// against refusing the requests beside them. Without claims, more sends must follow.
func TestSmallServiceSurvivesOverlaps(t *testing.T) {
	for seed := range uint64(2) {
		sends := map[bool]int{}
		for _, serial := range []bool{true, false} {
			r, innocent, refused := replaySmallService(t, seed, serial)
			for body, c := range r.deadly {
				if !strings.HasPrefix(body, deadly) {
					continue
				}
				sends[serial] += c.late
				t.Logf("seed %d, claims %t: %s crashed %d, sent %d times after the third crash, %d of them when all had heard of it",
					seed, serial, body, c.crashes, c.late, c.lateKnown)
				if serial && c.lateKnown > 3 {
					t.Errorf("seed %d: %s was sent %d times when all had heard of its crashes", seed, body, c.lateKnown)
				}
			}
			t.Logf("seed %d, claims %t: %d other requests, %d refused as suspected", seed, serial, innocent, refused)
			if serial && refused*200 > innocent {
				t.Errorf("seed %d: %d of %d other requests were refused", seed, refused, innocent)
			}
			r.checkOutcomes(t.Errorf)
		}
		if sends[true] >= sends[false] {
			t.Errorf("seed %d: %d sends after the third crash with claims, %d without", seed, sends[true], sends[false])
		}
	}
}

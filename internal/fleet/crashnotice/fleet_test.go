package crashnotice

import (
	"testing"
	"time"
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

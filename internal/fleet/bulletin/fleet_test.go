package bulletin

import (
	"testing"
	"time"
)

// Guards against a request that is stopped at the instance that saw it crash upstreams,
// and sent on by all others; with links cut and instances restarted meanwhile.
func TestWholeFleetStopsWhatCrashesUpstreams(t *testing.T) {
	for _, n := range []int{20, 100, 300} {
		for seed := range uint64(3) {
			p := fleetPlan{
				seed:      seed,
				instances: n,
				upstreams: 11,
				deadly:    4,
				every:     400 * time.Millisecond,
				plain:     60,
				length:    40 * time.Second,
				restarts:  0.5,
				cuts:      0.5,
				ends:      0.3,
			}
			f := newSimFleet(p)
			f.run()
			t.Logf("%d instances, seed %d: crashes %v, late %v, plain %d served %d turned away %d, writes %d, ends known %d",
				n, seed, f.crashes, f.late, f.plainN, f.served, f.turned, f.writes, f.most)
			for deadly, late := range f.late {
				if late > 3 {
					t.Errorf("%d instances, seed %d: request %d was sent on %d times", n, seed, deadly, late)
				}
			}
			if f.turned > 0 {
				t.Errorf("%d instances, seed %d: %d plain requests were turned away", n, seed, f.turned)
			}
		}
	}
}

// Guards against a refusal of what all ask for, once many upstreams were lost together.
func TestWhatAllAskForIsNotStopped(t *testing.T) {
	for seed := range uint64(6) {
		f := newSimFleet(fleetPlan{
			seed:      seed,
			instances: 20,
			upstreams: 11,
			plain:     20,
			popular:   60,
			losses:    0.2,
			ends:      0.5,
			length:    40 * time.Second,
		})
		f.run()
		t.Logf("seed %d: plain %d popular %d served %d turned away %d", seed, f.plainN, f.popularN, f.served, f.turned)
		if f.turned > 0 {
			t.Errorf("seed %d: %d requests were turned away", seed, f.turned)
		}
	}
}

// Guards against a simulation that shows nothing: instances that don't hear of each other
// let it through.
func TestInstancesAloneDoNotStopIt(t *testing.T) {
	f := newSimFleet(fleetPlan{
		instances: 20,
		upstreams: 11,
		deadly:    1,
		every:     400 * time.Millisecond,
		plain:     20,
		length:    30 * time.Second,
		alone:     true,
	})
	f.run()
	t.Logf("crashes %v, late %v", f.crashes, f.late)
	if f.late[1] <= 3 {
		t.Errorf("request 1 was sent on %d times only", f.late[1])
	}
}

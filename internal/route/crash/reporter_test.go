package crash

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
)

// fixedSecret implements Secret with a constant.
type fixedSecret struct{}

// Get implements Secret.
func (fixedSecret) Get(context.Context) ([]byte, error) { return []byte("secret"), nil }

func newReporter(dial func(context.Context, string) error) *Reporter {
	return &Reporter{
		Secret:  fixedSecret{},
		Timer:   &timer.Manual{},
		Metrics: NewMetrics(prometheus.NewRegistry()),
		Dial:    dial,
	}
}

// waitForReports waits until n requests were reported with the given value of the label ended.
func waitForReports(t *testing.T, r *Reporter, ended string, n int) {
	t.Helper()
	seen := func() bool { return int(testutil.ToFloat64(r.Metrics.cuts.WithLabelValues(ended))) == n }
	if !timer.Poll(timer.Real{}, time.Millisecond, 10*time.Second, nil, seen) {
		t.Fatalf("expected %d reports with ended=%s within 10 s", n, ended)
	}
}

// Guards against taking an upstream for crashed when its network path was cut or when it
// closed an idle connection.
func TestOnlyRefusedConnectionIsACrash(t *testing.T) {
	for name, err := range map[string]error{
		"open":        nil,
		"timeout":     context.DeadlineExceeded,
		"unreachable": errors.New("no route to host"),
	} {
		t.Run(name, func(t *testing.T) {
			r := newReporter(func(context.Context, string) error { return err })
			r.ReportCutOff(Cut{Incarnation: "u/1"})
			waitForReports(t, r, "false", 1)
		})
	}
	r := newReporter(func(context.Context, string) error {
		return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	})
	r.ReportCutOff(Cut{Incarnation: "u/1"})
	waitForReports(t, r, "true", 1)
}

// Guards against one probe per request of a crashed upstream, and against not reporting
// requests that were cut off before the probe had a result.
func TestOneProbePerUpstream(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int32
	release := make(chan struct{})
	r := newReporter(func(context.Context, string) error {
		dials.Add(1)
		<-release
		return syscall.ECONNREFUSED
	})
	for range maxWaitingCuts + 3 {
		r.ReportCutOff(Cut{Incarnation: "u/1"})
	}
	close(release)
	waitForReports(t, r, "true", maxWaitingCuts)
	is.Equal(testutil.ToFloat64(r.Metrics.dropped), 3.0)
	r.ReportCutOff(Cut{Incarnation: "u/1"})
	waitForReports(t, r, "true", maxWaitingCuts+1)
	is.Equal(dials.Load(), int32(1))
}

// Guards against memory use that grows with the number of upstreams that crash.
func TestProbesAreBounded(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	r := newReporter(func(context.Context, string) error { return syscall.ECONNREFUSED })
	r.Timer = clock
	for i := range maxProbes + 10 {
		r.ReportCutOff(Cut{Incarnation: IncarnationOf("u", uint64(i))})
	}
	waitForReports(t, r, "true", maxProbes)
	is.Equal(testutil.ToFloat64(r.Metrics.dropped), 10.0)
	clock.Advance(crashTTL)
	r.ReportCutOff(Cut{Incarnation: IncarnationOf("u", maxProbes)})
	waitForReports(t, r, "true", maxProbes+1)
	r.mu.Lock()
	defer r.mu.Unlock()
	is.Equal(fmt.Sprint(len(r.probes)), "1")
}

func TestDialTCP(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(dialTCP(t.Context(), address))
	is.NoErr(ln.Close())
	is.True(errors.Is(dialTCP(t.Context(), address), syscall.ECONNREFUSED))
}

// Guards against a caller that waits for the result of a check that is not made, or that
// is told of a crash before OnCrash has recorded it.
func TestEachCutHasOneResult(t *testing.T) {
	is := is.New(t)
	var results, recorded atomic.Int32
	release := make(chan struct{})
	r := newReporter(func(context.Context, string) error {
		<-release
		return syscall.ECONNREFUSED
	})
	r.OnCrash = func(Cut, fingerprint.Fingerprint) log.Fields {
		recorded.Add(1)
		return nil
	}
	crashed := make(chan bool, maxWaitingCuts+3)
	for range maxWaitingCuts + 3 {
		r.ReportCutOff(Cut{
			Incarnation: "u/1",
			OnResult: func(c bool) {
				if c && results.Add(1) > recorded.Load() {
					t.Error("the result precedes OnCrash")
				}
				crashed <- c
			},
		})
	}
	close(release)
	dropped := 0
	for range maxWaitingCuts + 3 {
		if !<-crashed {
			dropped++
		}
	}
	is.Equal(dropped, 3)
}

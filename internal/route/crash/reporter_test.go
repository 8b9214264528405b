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

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// fixed is a secret that is always known.
type fixed struct{}

// Get implements Secret.
func (fixed) Get(context.Context) ([]byte, error) { return []byte("secret"), nil }

func newReporter(dial func(context.Context, string) error) *Reporter {
	return &Reporter{
		Secret:  fixed{},
		Timer:   &timer.Manual{},
		Metrics: NewMetrics(prometheus.NewRegistry()),
		Dial:    dial,
	}
}

// await waits until so many requests were reported on.
func await(t *testing.T, r *Reporter, ended string, n int) {
	t.Helper()
	seen := func() bool { return int(testutil.ToFloat64(r.Metrics.cuts.WithLabelValues(ended))) == n }
	if !timer.Until(timer.Real{}, time.Millisecond, 10*time.Second, nil, seen) {
		t.Fatalf("not %d reports with ended=%s", n, ended)
	}
}

// Guards against an upstream that is taken for ended as its path was cut, or as it closed
// an idle connection.
func TestOnlyAClosedPortIsAnEnd(t *testing.T) {
	for name, err := range map[string]error{
		"open": nil,
		"dark": context.DeadlineExceeded,
		"away": errors.New("no route to host"),
	} {
		t.Run(name, func(t *testing.T) {
			r := newReporter(func(context.Context, string) error { return err })
			r.Cut(Cut{Incarnation: "u/1"})
			await(t, r, "false", 1)
		})
	}
	r := newReporter(func(context.Context, string) error {
		return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	})
	r.Cut(Cut{Incarnation: "u/1"})
	await(t, r, "true", 1)
}

// Guards against a probe for each request of an upstream that ended, and against requests
// that were cut before the answer to it and are not reported.
func TestOneQuestionForAllRequestsOfAnUpstream(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	answer := make(chan struct{})
	r := newReporter(func(context.Context, string) error {
		asked.Add(1)
		<-answer
		return syscall.ECONNREFUSED
	})
	for range maxWaiting + 3 {
		r.Cut(Cut{Incarnation: "u/1"})
	}
	close(answer)
	await(t, r, "true", maxWaiting)
	is.Equal(testutil.ToFloat64(r.Metrics.notSeen), 3.0)
	r.Cut(Cut{Incarnation: "u/1"})
	await(t, r, "true", maxWaiting+1)
	is.Equal(asked.Load(), int32(1))
}

// Guards against memory that grows with the upstreams that end.
func TestLivesAreBounded(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	r := newReporter(func(context.Context, string) error { return syscall.ECONNREFUSED })
	r.Timer = clock
	for i := range maxUpstreams + 10 {
		r.Cut(Cut{Incarnation: IncarnationOf("u", uint64(i))})
	}
	await(t, r, "true", maxUpstreams)
	is.Equal(testutil.ToFloat64(r.Metrics.notSeen), 10.0)
	clock.Advance(keepsEnds)
	r.Cut(Cut{Incarnation: IncarnationOf("u", maxUpstreams)})
	await(t, r, "true", maxUpstreams+1)
	r.mu.Lock()
	defer r.mu.Unlock()
	is.Equal(fmt.Sprint(len(r.upstreams)), "1")
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

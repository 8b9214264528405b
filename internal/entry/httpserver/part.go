package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/entry/budget"
	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/certificate"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/runner"
)

// Limits of the server and timing of its shutdown.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10 // 32 KiB
	// leavePropagationTime is how long it takes until all instances know that this one
	// is leaving.
	leavePropagationTime = 2 * time.Second
	// defaultAddressTTL is how long callers may cache an address response while no
	// configuration is loaded.
	defaultAddressTTL = 10 * time.Second
	// MaxTTLFactor is the largest factor by which jitter extends the time for which an
	// address response may be cached.
	MaxTTLFactor = 1.25
	// drainTimeout limits the wait for requests in flight. It exceeds the longest
	// deadline that a request can have.
	drainTimeout = time.Hour + time.Minute
)

func init() {
	part.Register(part.Factory{
		Name:  "entry.door",
		Stage: part.StageMux,
		Make:  makeMux,
	})
	part.Register(part.Factory{
		Name:  "entry.listen",
		Stage: part.StageListener,
		Make:  makeListener,
	})
}

func makeMux(h *part.Host) (part.Part, error) {
	b := budget.New(budget.Bytes(int64(h.Settings.MemoryMB)<<20, h.Settings.BuffersShare), h.Timer, h.Journal, h.Metrics)
	part.Provide(h, b)
	part.Provide(h, NewMux(b))
	return part.Noop{}, nil
}

// listener is the part that serves the Mux on the instance's listen address.
type listener struct {
	host    *part.Host
	mux     *Mux
	budget  *budget.Budget
	members *member.Table
	holder  *configuration.Holder
	runner  *runner.Runner
	server  *http.Server
}

func makeListener(h *part.Host) (part.Part, error) {
	l := &listener{
		host:    h,
		mux:     part.MustGet[*Mux](h),
		budget:  part.MustGet[*budget.Budget](h),
		members: part.MustGet[*member.Table](h),
		holder:  part.MustGet[*configuration.Holder](h),
		runner:  part.MustGet[*runner.Runner](h),
	}
	l.addHealthHandlers()
	l.mux.HandleNotFound()
	h.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretbend_requests_in_flight",
		Help: "Requests that are being answered.",
	}, func() float64 { return float64(l.mux.InFlight()) }))
	return l, nil
}

// addHealthHandlers adds the paths for metrics, liveness and readiness. An instance is
// ready if it has a configuration and is not leaving.
func (l *listener) addHealthHandlers() {
	l.mux.Handle(pat.Get("/metrics"), promhttp.HandlerFor(l.host.Metrics, promhttp.HandlerOpts{}))
	l.mux.HandleFunc(pat.Get("/healthz"), func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	l.mux.HandleFunc(pat.Get("/readyz"), func(w http.ResponseWriter, _ *http.Request) {
		if l.holder.Revision() == 0 || l.mux.Leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// Start implements part.Part.
func (l *listener) Start(t *tomb.Tomb) error {
	ln, err := net.Listen("tcp", l.host.Settings.Listen)
	if err != nil {
		return err
	}
	l.server = &http.Server{
		Handler:           l.mux,
		ConnContext:       budget.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	ln = l.budget.Listener(ln)
	security := l.host.Settings.Security
	if security.Certificate != "" {
		pair := &certificate.Pair{
			Certificate: security.Certificate,
			PrivateKey:  security.PrivateKey,
		}
		if _, err := pair.Get(); err != nil {
			return err
		}
		ln = tls.NewListener(ln, certificate.ServerTLS(pair))
	}
	t.Go(func() error {
		err := l.server.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	l.host.Journal.Info("listening", log.Fields{
		"address": l.host.Settings.Listen,
	})
	return nil
}

// Stop implements part.Part. Callers may use a cached address response that lists this
// instance until the response expires. Closing the listener earlier would fail their
// requests, so Stop waits until all such responses have expired.
func (l *listener) Stop() {
	l.mux.leaving.Store(true)
	l.members.Leave()
	l.host.Journal.Info("leaving", log.Fields{
		"in_flight": l.mux.InFlight(),
	})
	ttl := defaultAddressTTL
	if doc := l.holder.Current(); doc != nil {
		ttl = time.Duration(doc.Parsed().Addresses.TTLMS) * time.Millisecond
	}
	timer.Wait(l.host.Timer, time.Duration(float64(ttl)*MaxTTLFactor)+leavePropagationTime, nil)
	l.runner.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	_ = l.server.Shutdown(ctx)
	l.host.Journal.Info("drained", log.Fields{
		"in_flight": l.mux.InFlight(),
	})
}

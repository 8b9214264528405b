package door

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

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/certificate"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/runner"
)

// Limits of connections to the doors.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
	// spreadTime is how long a leaving mark takes to reach all instances.
	spreadTime = 2 * time.Second
	// defaultKeep is how long answers are kept without a configuration.
	defaultKeep = 10 * time.Second
	// KeepJitter is the largest factor on the keep time of an answer.
	KeepJitter = 1.25
	// drainTime bounds the wait for requests in flight. It is above the
	// longest deadline that a request can have.
	drainTime = time.Hour + time.Minute
)

func init() {
	part.Register(part.Factory{
		Name:  "entry.door",
		Stage: part.StageDoor,
		Make:  makeMux,
	})
	part.Register(part.Factory{
		Name:  "entry.listen",
		Stage: part.StageListen,
		Make:  makeListener,
	})
}

func makeMux(h *part.Host) (part.Part, error) {
	part.Put(h, NewMux())
	return part.Idle{}, nil
}

// listener serves the mux.
type listener struct {
	host    *part.Host
	mux     *Mux
	members *member.Table
	holder  *configuration.Holder
	runner  *runner.Runner
	server  *http.Server
}

func makeListener(h *part.Host) (part.Part, error) {
	l := &listener{
		host:    h,
		mux:     part.Get[*Mux](h),
		members: part.Get[*member.Table](h),
		holder:  part.Get[*configuration.Holder](h),
		runner:  part.Get[*runner.Runner](h),
	}
	l.addHealth()
	l.mux.HandleRest()
	h.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretbend_requests_in_flight",
		Help: "Requests that are being answered.",
	}, func() float64 { return float64(l.mux.InFlight()) }))
	return l, nil
}

func (l *listener) addHealth() {
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
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	security := l.host.Settings.Security
	if security.Certificate != "" {
		pair := &certificate.Pair{
			Certificate: security.Certificate,
			PrivateKey:  security.PrivateKey,
		}
		if _, err := pair.Get(); err != nil {
			return err
		}
		ln = tls.NewListener(ln, certificate.Door(pair))
	}
	t.Go(func() error {
		err := l.server.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	l.host.Journal.Event("listening", log.Fields{
		"address": l.host.Settings.Listen,
	})
	return nil
}

// Stop implements part.Part. Callers may hold an answer that names this
// instance for as long as the keep time allows; to close the door before that
// would fail requests that were promised a place.
func (l *listener) Stop() {
	l.mux.leaving.Store(true)
	l.members.Leave()
	l.host.Journal.Event("leaving", log.Fields{
		"in_flight": l.mux.InFlight(),
	})
	keep := defaultKeep
	if doc := l.holder.Current(); doc != nil {
		keep = time.Duration(doc.Parsed().Addresses.KeepMS) * time.Millisecond
	}
	timer.Wait(l.host.Timer, time.Duration(float64(keep)*KeepJitter)+spreadTime, nil)
	l.runner.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	_ = l.server.Shutdown(ctx)
	l.host.Journal.Event("drained", log.Fields{
		"in_flight": l.mux.InFlight(),
	})
}

package crash

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
)

// Limits of a Reporter.
const (
	// dialTimeout bounds a probe. A closed port refuses the connection within a round trip.
	dialTimeout = 300 * time.Millisecond
	// secretTimeout bounds the call for the secret.
	secretTimeout = time.Second
	// crashTTL is how long the result of a probe that found a crash is kept. It exceeds the
	// time until all requests that the crash cut off have been reported.
	crashTTL = 10 * time.Second
	// openTTL is how long the result of a probe that found no crash is kept.
	openTTL = time.Second
	// maxProbes bounds the probes that are running or whose result is kept.
	maxProbes = 256
	// maxWaitingCuts bounds the requests that wait for the result of one probe.
	maxWaitingCuts = 32
)

// Incarnation identifies an upstream between a start and its next restart.
type Incarnation string

// IncarnationOf returns the Incarnation of the upstream id with the given incarnation number.
func IncarnationOf(id string, number uint64) Incarnation {
	return Incarnation(fmt.Sprintf("%s/%d", id, number))
}

// Cut is a request whose connection to an upstream was cut off before an answer.
type Cut struct {
	RequestID   string
	Incarnation Incarnation
	Address     string
	Digest      fingerprint.Digest
	// At is when the connection was cut off.
	At timer.Instant
	// Consecutive is the number of consecutive upstream crashes during this request if this
	// upstream crashed: one more than were known when the request was sent to it.
	Consecutive int
	// OnResult, if not nil, is called once when it is known whether the upstream crashed,
	// after Reporter.OnCrash. A cut that is dropped counts as no crash. It must not block.
	OnResult func(crashed bool)
}

// finish calls c.OnResult.
func (c Cut) finish(crashed bool) {
	if c.OnResult != nil {
		c.OnResult(crashed)
	}
}

// Secret provides the key for fingerprints of requests.
type Secret interface {
	Get(ctx context.Context) ([]byte, error)
}

// Reporter probes the upstreams at which requests were cut off, and reports those that crashed.
type Reporter struct {
	Secret  Secret
	Timer   timer.Service
	Journal *journal.Journal
	Metrics *Metrics
	// OnCrash, if not nil, is called for each request that was cut off by a crash. It returns
	// additional fields for the log line.
	OnCrash func(c Cut, fp fingerprint.Fingerprint) log.Fields
	// Dial opens a connection to an address and closes it; nil does so over TCP.
	Dial func(ctx context.Context, address string) error

	mu     sync.Mutex
	probes map[Incarnation]*probe
}

// probe is a check whether one upstream incarnation crashed, with its result.
type probe struct {
	running bool
	crashed bool
	// finishedAt is the time of the result.
	finishedAt timer.Instant
	waiting    []Cut
}

// ReportCutOff takes a request that was cut off. Once a probe has shown whether its upstream
// crashed, the request is logged, counted and, after a crash, passed to r.OnCrash. ReportCutOff
// does not block.
func (r *Reporter) ReportCutOff(c Cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	p := r.probes[c.Incarnation]
	if p != nil && !p.running && !p.valid(now) {
		delete(r.probes, c.Incarnation)
		p = nil
	}
	switch {
	case p == nil:
		r.startProbe(c, now)
	case p.running && len(p.waiting) < maxWaitingCuts:
		p.waiting = append(p.waiting, c)
	case p.running:
		r.Metrics.countDropped()
		c.finish(false)
	default:
		go r.report(c, p.crashed)
	}
}

// valid reports whether the result of a finished probe may still be used.
func (p *probe) valid(now timer.Instant) bool {
	ttl := openTTL
	if p.crashed {
		ttl = crashTTL
	}
	return now.Sub(p.finishedAt) < ttl
}

// startProbe starts a probe of the incarnation of c, or drops c if there are too many probes.
// The caller holds r.mu.
func (r *Reporter) startProbe(c Cut, now timer.Instant) {
	if r.probes == nil {
		r.probes = make(map[Incarnation]*probe)
	}
	if len(r.probes) >= maxProbes {
		r.evictExpired(now)
	}
	if len(r.probes) >= maxProbes {
		r.Metrics.countDropped()
		c.finish(false)
		return
	}
	p := &probe{
		running: true,
		waiting: []Cut{c},
	}
	r.probes[c.Incarnation] = p
	go func() {
		crashed := r.portClosed(c.Address)
		r.mu.Lock()
		p.running, p.crashed, p.finishedAt = false, crashed, r.Timer.Now()
		waiting := p.waiting
		p.waiting = nil
		r.mu.Unlock()
		for _, c := range waiting {
			r.report(c, crashed)
		}
	}()
}

// evictExpired deletes the probes whose result is no longer valid. The caller holds r.mu.
func (r *Reporter) evictExpired(now timer.Instant) {
	for name, p := range r.probes {
		if !p.running && !p.valid(now) {
			delete(r.probes, name)
		}
	}
}

// portClosed reports whether an address refuses connections.
func (r *Reporter) portClosed(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	dial := r.Dial
	if dial == nil {
		dial = dialTCP
	}
	return errors.Is(dial(ctx, address), syscall.ECONNREFUSED)
}

func dialTCP(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// report logs and counts one request that was cut off, and calls r.OnCrash if its upstream crashed.
func (r *Reporter) report(c Cut, crashed bool) {
	defer c.finish(crashed)
	r.Metrics.countCut(crashed)
	fields := log.Fields{
		"request_id": c.RequestID,
		"upstream":   string(c.Incarnation),
		"ended":      crashed,
	}
	defer func() { r.Journal.Decision("cut", fields) }()
	ctx, cancel := context.WithTimeout(context.Background(), secretTimeout)
	defer cancel()
	secret, err := r.Secret.Get(ctx)
	if err != nil {
		r.Journal.Warn("no secret for fingerprints", err, log.Fields{
			"request_id": c.RequestID,
		})
		return
	}
	fp := c.Digest.Keyed(secret)
	fields["fingerprint"] = fp.String()
	if !crashed || r.OnCrash == nil {
		return
	}
	for name, value := range r.OnCrash(c, fp) {
		fields[name] = value
	}
}

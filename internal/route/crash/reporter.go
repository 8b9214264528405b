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

// The limits of a Reporter.
const (
	// dialTimeout bounds the question whether a port is closed. A closed one answers
	// within a round trip.
	dialTimeout = 300 * time.Millisecond
	// secretTimeout bounds the call for the secret.
	secretTimeout = time.Second
	// keepsEnds is for how long an upstream's end is remembered, longer than any
	// request that it cut takes to be noticed.
	keepsEnds = 10 * time.Second
	// askAgain is how soon an upstream whose port was open is asked again.
	askAgain = time.Second
	// maxUpstreams bounds the upstreams that are remembered or asked at a time.
	maxUpstreams = 256
	// maxWaiting bounds the requests that wait for the answer of one upstream.
	maxWaiting = 32
)

// Incarnation names one life of an upstream: one that starts again is another.
type Incarnation string

// IncarnationOf returns the name of an incarnation.
func IncarnationOf(id string, number uint64) Incarnation {
	return Incarnation(fmt.Sprintf("%s/%d", id, number))
}

// Cut is a request whose connection to an upstream was cut before an answer.
type Cut struct {
	RequestID   string
	Incarnation Incarnation
	Address     string
	Sum         fingerprint.Sum
	// At is when it was cut off.
	At timer.Instant
	// Row is the number of this end if the upstream has ended: one more than were known to
	// have ended under the request when it was sent there.
	Row int
}

// Secret is what prints are made with.
type Secret interface {
	Get(ctx context.Context) ([]byte, error)
}

// Reporter finds out which upstreams have ended.
type Reporter struct {
	Secret  Secret
	Timer   timer.Service
	Journal *journal.Journal
	Metrics *Metrics
	// Ended is called for each request that an upstream ended under, and returns what
	// else the log says of it; nil is not called.
	Ended func(c Cut, print fingerprint.Print) log.Fields
	// Dial asks an address for a connection and closes it; nil does so over TCP.
	Dial func(ctx context.Context, address string) error

	mu        sync.Mutex
	upstreams map[Incarnation]*upstream
}

// upstream is what is known of one incarnation.
type upstream struct {
	asking bool
	ended  bool
	// at is when it was known.
	at      timer.Instant
	waiting []Cut
}

// Cut notes a request that was cut. It does not wait.
func (r *Reporter) Cut(c Cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	u := r.upstreams[c.Incarnation]
	if u != nil && !u.asking && !u.knows(now) {
		delete(r.upstreams, c.Incarnation)
		u = nil
	}
	switch {
	case u == nil:
		r.ask(c, now)
	case u.asking && len(u.waiting) < maxWaiting:
		u.waiting = append(u.waiting, c)
	case u.asking:
		r.Metrics.dropped()
	default:
		go r.report(c, u.ended)
	}
}

// knows reports whether what is known still holds.
func (u *upstream) knows(now timer.Instant) bool {
	keeps := askAgain
	if u.ended {
		keeps = keepsEnds
	}
	return now.Sub(u.at) < keeps
}

// ask begins to find out about an incarnation. The lock is held.
func (r *Reporter) ask(c Cut, now timer.Instant) {
	if r.upstreams == nil {
		r.upstreams = make(map[Incarnation]*upstream)
	}
	if len(r.upstreams) >= maxUpstreams {
		r.forget(now)
	}
	if len(r.upstreams) >= maxUpstreams {
		r.Metrics.dropped()
		return
	}
	u := &upstream{
		asking:  true,
		waiting: []Cut{c},
	}
	r.upstreams[c.Incarnation] = u
	go func() {
		ended := r.closed(c.Address)
		r.mu.Lock()
		u.asking, u.ended, u.at = false, ended, r.Timer.Now()
		waiting := u.waiting
		u.waiting = nil
		r.mu.Unlock()
		for _, c := range waiting {
			r.report(c, ended)
		}
	}()
}

// forget drops the incarnations of which nothing is known any more. The lock is held.
func (r *Reporter) forget(now timer.Instant) {
	for name, u := range r.upstreams {
		if !u.asking && !u.knows(now) {
			delete(r.upstreams, name)
		}
	}
}

// closed reports whether nobody listens at an address.
func (r *Reporter) closed(address string) bool {
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

// report tells of one request what became of its upstream.
func (r *Reporter) report(c Cut, ended bool) {
	r.Metrics.cut(ended)
	fields := log.Fields{
		"request_id": c.RequestID,
		"upstream":   string(c.Incarnation),
		"ended":      ended,
	}
	defer func() { r.Journal.Decision("cut", fields) }()
	ctx, cancel := context.WithTimeout(context.Background(), secretTimeout)
	defer cancel()
	secret, err := r.Secret.Get(ctx)
	if err != nil {
		r.Journal.Trouble("no secret for fingerprints", err, log.Fields{
			"request_id": c.RequestID,
		})
		return
	}
	print := c.Sum.Under(secret)
	fields["fingerprint"] = print.String()
	if !ended || r.Ended == nil {
		return
	}
	for name, value := range r.Ended(c, print) {
		fields[name] = value
	}
}

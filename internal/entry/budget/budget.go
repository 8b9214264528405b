package budget

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// DefaultShare is the share of an instance's memory that its settings use by default.
const DefaultShare = 0.2

// MaxShare is the largest share that settings may choose. The runtime's memory limit is
// 0.6 of the memory, and the state of the instance needs a part of it.
const MaxShare = 0.5

const (
	// minIdle is how long a holder must have waited for its caller before it is cut to
	// make room.
	minIdle = time.Second
	// progressBytes is how many bytes count as progress of a holder. A client that
	// sends single bytes would otherwise never count as idle.
	progressBytes = 1 << 10
	// retryAfter is the time after which a refused caller should retry: by then the
	// idle holders can be cut.
	retryAfter = time.Second
	// roomPollInterval is how often a response that waits for room looks for it.
	roomPollInterval = 10 * time.Millisecond
	// newWorkEighths is the part of the bound that new work may use. The last eighth is
	// kept for responses: if bodies could fill the whole bound, no response would have
	// room and no body would ever be released.
	newWorkEighths = 7
)

// Errors of reservations.
var (
	// ErrClosed is returned for a lease that was closed or cut.
	ErrClosed = errors.New("the request has ended")
	// ErrNeverFits is returned for a response that exceeds the whole bound by itself or
	// together with its request.
	ErrNeverFits = errors.New("the request and its response are larger than the memory for buffers")
	// ErrNoRoom is returned for a response of unknown length that holds much of the bound, while
	// others hold the rest.
	ErrNoRoom = errors.New("the response has no known end, and there is no room for more of it")
)

// Bytes returns the bound for an instance with the given memory. Zero means no bound.
func Bytes(memory int64, share float64) int64 { return int64(float64(memory) * share) }

// Budget counts the bytes that all requests hold. It is safe for concurrent use. A nil
// *Budget counts and refuses nothing.
type Budget struct {
	limit   int64
	timer   timer.Service
	journal *journal.Journal
	// refused and cuts are the numbers of requests that were refused and of connections
	// that were cut.
	refused, cuts atomic.Int64

	mu   sync.Mutex
	held int64
	// cutting is the part of held whose holders were cut and have not ended yet.
	cutting int64
	// grower is the lease whose response of unknown length may grow while memory is
	// scarce, and grownAt when it grew last.
	grower  *Lease
	grownAt timer.Instant
	// waiting is the part of held whose responses wait for room.
	waiting int64
	// holders is the ring of open leases. Its head is no lease.
	holders Lease
}

// New returns a Budget of limit bytes whose metrics are registered with reg, if that is
// not nil. A limit of zero counts only.
func New(limit int64, svc timer.Service, j *journal.Journal, reg prometheus.Registerer) *Budget {
	b := &Budget{
		limit:   limit,
		timer:   svc,
		journal: j,
	}
	b.holders.next, b.holders.previous = &b.holders, &b.holders
	if reg != nil {
		reg.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "egretbend_buffered_bytes",
				Help: "Bytes held for callers and upstreams.",
			}, func() float64 { return float64(b.Usage().HeldBytes) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "egretbend_buffers_refused_total",
				Help: "Requests that were refused because the memory for buffers was full.",
			}, func() float64 { return float64(b.refused.Load()) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "egretbend_slow_readers_cut_total",
				Help: "Connections that were closed because their caller read or wrote too slowly.",
			}, func() float64 { return float64(b.cuts.Load()) }),
		)
	}
	return b
}

// Usage is the state of a Budget.
type Usage struct {
	HeldBytes  int64 `json:"held_bytes"`
	BoundBytes int64 `json:"bound_bytes"`
	Refused    int64 `json:"refused"`
	Cut        int64 `json:"cut"`
}

// Usage returns the present state.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{
		HeldBytes:  b.held,
		BoundBytes: b.limit,
		Refused:    b.refused.Load(),
		Cut:        b.cuts.Load(),
	}
}

// Lease is what one request holds. All methods may be called on a nil *Lease, which has no
// bound, and from several goroutines.
type Lease struct {
	budget *Budget
	conn   *Conn
	id     string
	// waiting is set while the request waits for its caller, since is the instant from
	// which it made no progress, and moved counts the bytes that were moved since then.
	waiting atomic.Bool
	since   atomic.Int64
	moved   atomic.Int64

	// The fields below are guarded by budget.mu.
	bytes          int64
	cut, closed    bool
	next, previous *Lease
}

// Open returns a lease for a new request, or an error that refuses the request if the
// memory for new work is full.
func (b *Budget) Open(ctx context.Context, id string) (*Lease, error) {
	if b == nil {
		return nil, nil
	}
	l := &Lease{
		budget: b,
		id:     id,
	}
	l.conn, _ = ctx.Value(connKey{}).(*Conn)
	if err := l.reserve(1, 0); err != nil {
		return nil, err
	}
	b.mu.Lock()
	l.next, l.previous = b.holders.next, &b.holders
	l.next.previous, l.previous.next = l, l
	b.mu.Unlock()
	if l.conn != nil {
		l.conn.lease.Store(l)
	}
	return l, nil
}

// Close returns everything that the lease holds. Later reservations on it fail.
func (l *Lease) Close() {
	if l == nil {
		return
	}
	if l.conn != nil {
		l.conn.lease.CompareAndSwap(l, nil)
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.closed {
		return
	}
	l.add(-l.bytes)
	l.closed = true
	b.endGrowth(l)
	l.next.previous, l.previous.next = l.previous, l.next
}

// add changes what the lease holds by n. budget.mu must be held.
func (l *Lease) add(n int64) {
	l.bytes += n
	l.budget.held += n
	if l.cut {
		l.budget.cutting += n
	}
}

// Reserve reserves n bytes for work that was not started yet. At the bound, it cuts the
// holders that are idle for the longest time and returns an error that refuses the
// request.
func (l *Lease) Reserve(n int64) error {
	if l == nil || n <= 0 {
		return nil
	}
	return l.reserve(n, n)
}

// reserve reserves n bytes if there is room for needed bytes of new work.
func (l *Lease) reserve(needed, n int64) error {
	b := l.budget
	b.mu.Lock()
	if l.closed || l.cut {
		b.mu.Unlock()
		return ErrClosed
	}
	most := b.newWorkLimit()
	if b.limit <= 0 || b.held+needed <= most {
		l.add(n)
		b.mu.Unlock()
		return nil
	}
	if l.bytes+needed > most {
		b.mu.Unlock()
		return problem.TooLarge.Withf("the request needs more than the %d bytes for buffers of new work", most)
	}
	held := b.held
	victims := b.makeRoom(most, needed)
	b.mu.Unlock()
	b.logCuts(victims)
	return l.refuse(needed, held)
}

// newWorkLimit returns up to how many held bytes new work is accepted.
func (b *Budget) newWorkLimit() int64 { return b.limit * newWorkEighths / 8 }

// refuse counts and logs the refusal of a request and returns its error.
func (l *Lease) refuse(n, held int64) error {
	b := l.budget
	b.refused.Add(1)
	b.journal.Decision("refuse", log.Fields{
		"request_id":     l.id,
		"reason":         "memory",
		"bytes":          n,
		"held":           held,
		"bound":          b.limit,
		"retry_after_ms": retryAfter.Milliseconds(),
	})
	return problem.BuffersFull.Withf("%d bytes are held for other requests, of at most %d", held, b.limit).WithRetryAfter(retryAfter)
}

// Await reserves n bytes for a response, whose request has run and can't be refused any
// more. It waits for room until ctx is done, and cuts idle holders meanwhile.
func (l *Lease) Await(ctx context.Context, n int64) error {
	return l.await(ctx, n, false)
}

// Release returns n bytes before the lease is closed.
func (l *Lease) Release(n int64) {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if !l.closed {
		l.add(-min(n, l.bytes))
	}
}

package budget

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/property"
)

const (
	testLimit = 8000 // bytes
	// testNewWork is the part of testLimit that new work may use.
	testNewWork = 7000
)

// openLease opens a lease with a connection that can be cut.
func openLease(b *Budget, id string) (*Lease, error) {
	near, far := net.Pipe()
	_ = far.Close()
	return b.Open(ConnContext(context.Background(), b.Wrap(near)), id)
}

// mustOpen is openLease for a request that must not be refused.
func mustOpen(t *testing.T, b *Budget, id string) *Lease {
	t.Helper()
	l, err := openLease(b, id)
	is.New(t).NoErr(err)
	return l
}

// doneContext returns a context that is done.
func doneContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// holder is the model of a lease.
type holder struct {
	lease *Lease
	bytes int64
	cut   bool
	// since is when the holder began to wait for its caller, or -1.
	since timer.Instant
}

// balance is the model of a Budget.
type balance struct {
	budget  *Budget
	clock   *timer.Manual
	holders []*holder
	cuts    int64
}

func (m *balance) sum() int64 {
	sum := int64(0)
	for _, h := range m.holders {
		sum += h.bytes
	}
	return sum
}

// checkCuts compares the holders that were cut since the last action with the order in
// which they must be cut. needed is what did not fit below limit.
func (m *balance) checkCuts(t *rapid.T, limit, needed int64) {
	remaining := m.sum()
	for _, h := range m.holders {
		if h.cut {
			remaining -= h.bytes
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(m.holders), func(h *holder) bool {
		return h.cut || h.bytes == 0 || h.since < 0 || m.clock.Now().Sub(h.since) < minIdle
	})
	slices.SortStableFunc(candidates, func(a, b *holder) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(b.bytes, a.bytes))
	})
	for _, h := range candidates {
		if remaining+needed <= limit {
			break
		}
		// Of holders that are idle for the same time and hold the same any may be cut.
		equal := slices.DeleteFunc(slices.Clone(candidates), func(o *holder) bool {
			return o.cut || o.since != h.since || o.bytes != h.bytes || !o.lease.cut
		})
		if len(equal) == 0 {
			t.Fatalf("no holder was cut that is idle since %d; %d bytes are held, %d needed, limit %d", h.since, remaining, needed, limit)
		}
		equal[0].cut = true
		m.cuts++
		remaining -= equal[0].bytes
	}
	for _, h := range m.holders {
		if h.lease.cut != h.cut {
			t.Fatalf("a holder idle since %d was cut: %t, expected %t", h.since, h.lease.cut, h.cut)
		}
	}
}

// runBalance runs random requests. If closesCut is not set, requests that were cut are
// not closed in the end.
func runBalance(t *rapid.T, closesCut bool) {
	m := &balance{
		clock: &timer.Manual{},
	}
	m.budget = New(testLimit, m.clock, nil, nil)
	// withHolder is an action on one of the holders, if there are any.
	withHolder := func(do func(*rapid.T, *holder)) func(*rapid.T) {
		return func(t *rapid.T) {
			if len(m.holders) > 0 {
				do(t, rapid.SampledFrom(m.holders).Draw(t, "holder"))
			}
		}
	}
	size := rapid.Int64Range(1, testLimit*5/4)
	t.Repeat(map[string]func(*rapid.T){
		"open": func(t *rapid.T) {
			l, err := openLease(m.budget, "r")
			if fits := m.sum()+1 <= testNewWork; fits != (err == nil) {
				t.Fatalf("open: %v with %d held", err, m.sum())
			}
			if err != nil {
				if !problem.Is(err, problem.BuffersFull) || problem.From(err).RetryAfter != retryAfter {
					t.Fatalf("open: %v", err)
				}
				m.checkCuts(t, testNewWork, 1)
				return
			}
			m.holders = append(m.holders, &holder{
				lease: l,
				since: -1,
			})
		},
		"reserve": withHolder(func(t *rapid.T, h *holder) {
			n := size.Draw(t, "n")
			err := h.lease.Reserve(n)
			switch {
			case h.cut:
				if !errors.Is(err, ErrClosed) {
					t.Fatalf("reserve of a cut holder: %v", err)
				}
			case m.sum()+n <= testNewWork:
				if err != nil {
					t.Fatalf("reserve: %v with %d held", err, m.sum())
				}
				h.bytes += n
			case h.bytes+n > testNewWork:
				if !problem.Is(err, problem.TooLarge) {
					t.Fatalf("reserve of what never fits: %v", err)
				}
			default:
				if !problem.Is(err, problem.BuffersFull) {
					t.Fatalf("reserve: %v with %d held", err, m.sum())
				}
				m.checkCuts(t, testNewWork, n)
			}
		}),
		"response": withHolder(func(t *rapid.T, h *holder) {
			n := size.Draw(t, "n")
			err := h.lease.Await(doneContext(), n)
			switch {
			case h.cut:
				if !errors.Is(err, ErrClosed) {
					t.Fatalf("response of a cut holder: %v", err)
				}
			case m.sum()+n <= testLimit:
				if err != nil {
					t.Fatalf("response: %v with %d held", err, m.sum())
				}
				h.bytes += n
			case h.bytes+n > testLimit:
				if !errors.Is(err, ErrNeverFits) {
					t.Fatalf("response that never fits: %v", err)
				}
			default:
				if !errors.Is(err, context.Canceled) {
					t.Fatalf("response: %v with %d held", err, m.sum())
				}
				m.checkCuts(t, testLimit, n)
			}
		}),
		"release": withHolder(func(t *rapid.T, h *holder) {
			n := rapid.Int64Range(0, h.bytes).Draw(t, "n")
			h.lease.Release(n)
			h.bytes -= n
		}),
		"wait": withHolder(func(_ *rapid.T, h *holder) {
			h.lease.startWait()
			h.since = m.clock.Now()
		}),
		"progress": withHolder(func(_ *rapid.T, h *holder) {
			h.lease.progress(progressBytes)
			if h.since >= 0 {
				h.since = m.clock.Now()
			}
		}),
		"run": withHolder(func(_ *rapid.T, h *holder) {
			h.lease.endWait()
			h.since = -1
		}),
		"close": withHolder(func(_ *rapid.T, h *holder) {
			h.lease.Close()
			h.lease.Close()
			m.holders = slices.DeleteFunc(m.holders, func(o *holder) bool { return o == h })
		}),
		"time": func(t *rapid.T) {
			m.clock.Advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			u := m.budget.Usage()
			if u.HeldBytes != m.sum() || u.HeldBytes > testLimit || u.Cut != m.cuts {
				t.Fatalf("%+v, expected %d bytes and %d cuts", u, m.sum(), m.cuts)
			}
		},
	})
	for _, h := range m.holders {
		if closesCut || !h.cut {
			h.lease.Close()
		}
	}
	if u := m.budget.Usage(); u.HeldBytes != 0 || m.budget.cutting != 0 || m.budget.holders.next != &m.budget.holders {
		t.Fatalf("%+v, %d of them cut, after all requests", u, m.budget.cutting)
	}
}

// Guards against an instance that holds more than its bound, against bytes that are never
// returned, and against a cut of a holder that makes progress or of one that is idle for a
// shorter time than another.
func TestReservationsBalance(t *testing.T) {
	property.Check(t, func(t *rapid.T) { runBalance(t, true) })
}

// Guards against a property that would not notice bytes that are never returned.
func TestReservationsBalanceNoticesLeak(t *testing.T) {
	property.CheckFails(t, func(t *rapid.T) { runBalance(t, false) })
}

// Guards against a bound of zero that refuses: it means that there is none. A lease of no
// budget must work too.
func TestNoBound(t *testing.T) {
	is := is.New(t)
	b := New(0, &timer.Manual{}, nil, nil)
	l := mustOpen(t, b, "r")
	is.NoErr(l.Reserve(1 << 40))
	is.NoErr(l.Await(doneContext(), 1<<40))
	is.Equal(b.Usage().HeldBytes, int64(2<<40))
	l.Close()
	is.Equal(b.Usage().HeldBytes, int64(0))
	var none *Budget
	l, err := none.Open(context.Background(), "r")
	is.NoErr(err)
	is.NoErr(l.Reserve(1))
	body, err := l.ReadBody(strings.NewReader("text"), -1)
	is.NoErr(err)
	is.Equal(string(body), "text")
	l.Close()
	is.Equal(none.Usage(), Usage{})
}

// Guards against a response that is lost because there is no room at the moment at which
// it is ready: it waits until the holder that was cut for it has ended.
func TestResponseWaitsForRoom(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	j, err := journal.Open(&out, "info", "i")
	is.NoErr(err)
	clock := &timer.Manual{}
	b := New(testLimit, clock, j, nil)
	slow, other := mustOpen(t, b, "slow"), mustOpen(t, b, "other")
	is.NoErr(slow.Await(doneContext(), 5000))
	slow.startWait()
	clock.Advance(minIdle / 2)
	is.NoErr(other.Await(doneContext(), 1900))
	other.startWait()
	ready := mustOpen(t, b, "ready")
	result := make(chan error, 1)
	go func() { result <- ready.Await(context.Background(), 4000) }()
	defer clock.Run(roomPollInterval, time.Millisecond)()
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool { return b.Usage().Cut == 1 }))
	is.True(slow.conn.broken.Load())
	is.True(!other.conn.broken.Load())
	is.Equal(len(result), 0)
	slow.Close()
	is.NoErr(<-result)
	is.Equal(b.Usage().HeldBytes, int64(5900))
	is.NoErr(j.Flush())
	is.True(strings.Contains(out.String(), "decision=cut_slow_reader"))
	is.True(strings.Contains(out.String(), "request_id=slow"))
	is.True(strings.Contains(out.String(), "bytes=5000"))
}

// Guards against responses of unknown length that each hold a part and wait for each other
// to release it.
func TestResponsesOfUnknownLengthEnd(t *testing.T) {
	is := is.New(t)
	const size = 3000
	b := New(testLimit, timer.Real{}, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	results := make(chan error)
	// All are open before the first one reads: while the responses fill the memory, new work is refused.
	var leases [12]*Lease
	for i := range leases {
		leases[i] = mustOpen(t, b, "r")
	}
	for _, l := range leases {
		go func() {
			// A reader that returns single bytes lets the responses grow together.
			body, err := l.ReadResponse(ctx, iotest.OneByteReader(bytes.NewReader(make([]byte, size))), -1)
			if err == nil && len(body) != size {
				err = io.ErrShortBuffer
			}
			timer.Wait(timer.Real{}, 10*time.Millisecond, nil) // it is written
			l.Close()
			results <- err
		}()
	}
	for range leases {
		is.NoErr(<-results)
	}
	is.Equal(b.Usage().HeldBytes, int64(0))
}

// Guards against a client that occupies memory by announcing a large body, and against
// bytes of a body that is cut off.
func TestBodyIsReservedAsItArrives(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	b := New(1<<30, clock, nil, nil)
	l := mustOpen(t, b, "r")
	r, w := io.Pipe()
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	const length = 10 << 20
	go func() {
		body, err := l.ReadBody(r, length)
		done <- result{body, err}
	}()
	_, err := w.Write([]byte("x"))
	is.NoErr(err)
	is.Equal(b.Usage().HeldBytes, int64(firstRead))
	clock.Advance(2 * minIdle)
	_, err = w.Write([]byte("x"))
	is.NoErr(err)
	_, err = w.Write([]byte("x")) // it is taken after the one before was counted
	is.NoErr(err)
	is.Equal(l.idle(clock.Now()), 2*minIdle) // single bytes are no progress
	_, err = w.Write(make([]byte, length-3))
	is.NoErr(err)
	got := <-done
	is.NoErr(got.err)
	is.Equal(len(got.body), length)
	is.Equal(b.Usage().HeldBytes, int64(length))
	is.Equal(l.idle(clock.Now()), time.Duration(0))
	_, err = l.ReadBody(strings.NewReader("cut off"), 100)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	l.Close()
	is.Equal(b.Usage().HeldBytes, int64(0))
	l = mustOpen(t, b, "r")
	_, err = l.ReadResponse(context.Background(), strings.NewReader("cut off"), 100)
	is.True(err != nil)
	is.Equal(b.Usage().HeldBytes, int64(0))
}

package budget

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/problem"
)

const (
	// firstRead is the buffer for the start of a request body whose length is known.
	// The rest is reserved as it arrives, so that a client can't occupy memory by
	// announcing a large body.
	firstRead = 64 << 10
	// firstReadUnknown is the buffer for the start of a body of unknown length.
	firstReadUnknown = 512
)

// ReadBody reads the body of a request. length is its Content-Length, or -1 if that is
// unknown. It reserves memory as the body grows.
func (l *Lease) ReadBody(r io.Reader, length int64) ([]byte, error) {
	l.startWait()
	defer l.endWait()
	return l.read(r, length, firstRead, l.Reserve)
}

// ReadResponse reads the body of an upstream's response. length is its Content-Length, or
// -1 if that is unknown. It waits for room until ctx is done. After an error it holds
// nothing of the response.
func (l *Lease) ReadResponse(ctx context.Context, r io.Reader, length int64) ([]byte, error) {
	// A response of known length is reserved as a whole, so that it never holds a part
	// while it waits for the rest.
	await := l.Await
	if length < 0 {
		await = l.awaitGrowth
	}
	reserved := int64(0)
	body, err := l.read(r, length, length, func(n int64) error {
		err := await(ctx, n)
		if err == nil {
			reserved += n
		}
		return err
	})
	l.endResponse(reserved, err)
	if err != nil {
		return nil, err
	}
	return body, nil
}

// endResponse lets another response grow, and releases what was reserved for one that
// failed.
func (l *Lease) endResponse(reserved int64, err error) {
	if l == nil {
		return
	}
	if err != nil {
		l.Release(reserved)
	}
	l.budget.mu.Lock()
	l.budget.endGrowth(l)
	l.budget.mu.Unlock()
}

// read reads length bytes, or all if length is negative, into a buffer that starts with
// at most first bytes and grows. It calls reserve before each growth.
func (l *Lease) read(r io.Reader, length, first int64, reserve func(int64) error) ([]byte, error) {
	size := min(length, first)
	if length < 0 {
		size = firstReadUnknown
	}
	if err := reserve(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			grown := 2 * int64(cap(body))
			switch {
			case length >= 0:
				grown = min(grown, length)
			case cap(body) >= firstRead:
				// A body of unknown length may end here: less is wasted then.
				grown = int64(cap(body)) * 5 / 4
			}
			if err := reserve(grown - int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		l.progress(int64(n))
		switch {
		case err == nil || int64(len(body)) == length:
		case errors.Is(err, io.EOF) && length < 0:
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
	return body, nil
}

// Body returns a request body that reserves on the lease what is read from it, for code
// that decodes a body as it arrives.
func (l *Lease) Body(body io.ReadCloser) io.ReadCloser {
	if l == nil {
		return body
	}
	return &countedBody{
		ReadCloser: body,
		lease:      l,
	}
}

// countedBody is a request body whose bytes are reserved as they are read.
type countedBody struct {
	io.ReadCloser
	lease   *Lease
	started bool
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	if !c.started {
		c.started = true
		c.lease.mark()
	}
	// The time between two reads is not the caller's: a decoder may never read to the
	// end.
	c.lease.waiting.Store(true)
	n, err := c.ReadCloser.Read(p)
	c.lease.progress(int64(n))
	c.lease.waiting.Store(false)
	if rerr := c.lease.Reserve(int64(n)); rerr != nil {
		return 0, rerr
	}
	return n, err
}

// Refuse prepares the response to a request whose body is not read because err refuses
// it. The server would otherwise wait for the rest of the body before it responds.
func Refuse(w http.ResponseWriter, r *http.Request, err error) {
	if !problem.Is(err, problem.BuffersFull) || r.ContentLength >= 0 && r.ContentLength <= firstRead {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// leaseKey is the context key of a request's lease.
type leaseKey struct{}

// NewContext returns a context with the lease of a request.
func NewContext(ctx context.Context, l *Lease) context.Context {
	if l == nil {
		return ctx
	}
	return context.WithValue(ctx, leaseKey{}, l)
}

// FromContext returns the lease of a request, or nil if there is none.
func FromContext(ctx context.Context) *Lease {
	l, _ := ctx.Value(leaseKey{}).(*Lease)
	return l
}

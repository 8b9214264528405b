package budget

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// endlessReader never ends.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against responses without end that fill the memory together and wait for each other, and for
// a response of known length that waits for them, until their requests run out of time.
func TestResponsesWithoutEndYield(t *testing.T) {
	is := is.New(t)
	b := New(testLimit, timer.Real{}, nil, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var leases [12]*Lease
	for i := range leases {
		leases[i] = mustOpen(t, b, "r")
	}
	whole := mustOpen(t, b, "whole")
	results := make(chan error)
	for _, l := range leases {
		go func() {
			_, err := l.ReadResponse(ctx, iotest.OneByteReader(endlessReader{}), -1)
			l.Close()
			results <- err
		}()
	}
	body, err := whole.ReadResponse(ctx, bytes.NewReader(make([]byte, testLimit/2)), testLimit/2)
	is.NoErr(err)
	is.Equal(len(body), testLimit/2)
	whole.Close()
	for range leases {
		err := <-results
		is.True(errors.Is(err, ErrNoRoom) || errors.Is(err, ErrNeverFits))
	}
	is.Equal(b.Usage().HeldBytes, int64(0))
	is.Equal(b.waiting, int64(0))
}

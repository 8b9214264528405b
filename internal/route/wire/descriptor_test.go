package wire

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/descriptor"
)

// Guards against connections to upstreams that take the descriptors of callers and other instances, and
// against idle ones that keep requests from being sent.
func TestConnectionsToUpstreamsAreBounded(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer other.Close()
	c := &Client{
		Descriptors: descriptor.New(64),
	}
	defer c.CloseIdle()
	// do returns once the connection is idle.
	do := func(c *Client, url string) error {
		idle := make(chan struct{})
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			PutIdleConn: func(error) { close(idle) },
		})
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		is.NoErr(err)
		res, _, err := c.Do(req, Pooled)
		if err == nil {
			_ = res.Body.Close()
			<-idle
		}
		return err
	}
	is.NoErr(do(c, s.URL))
	is.Equal(c.Descriptors.Held(descriptor.Upstreams), 1)
	for c.Descriptors.Take(descriptor.Upstreams) {
	}
	is.NoErr(do(c, other.URL)) // the idle connection is closed

	// Without a connection of its own to close, a client has nothing to send over.
	full := &Client{
		Descriptors: descriptor.New(64),
	}
	for full.Descriptors.Take(descriptor.Upstreams) {
	}
	held := full.Descriptors.Held(descriptor.Upstreams)
	err := do(full, s.URL)
	is.True(errors.Is(err, ErrNoDescriptor))
	is.Equal(full.Descriptors.Held(descriptor.Upstreams), held) // a refusal takes no slot and frees none
}

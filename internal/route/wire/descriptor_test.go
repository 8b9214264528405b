package wire

import (
	"errors"
	"net/http"
	"net/http/httptest"
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
	do := func(url string) error {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		is.NoErr(err)
		res, _, err := c.Do(req, Pooled)
		if err == nil {
			_ = res.Body.Close()
		}
		return err
	}
	is.NoErr(do(s.URL))
	is.Equal(c.Descriptors.Held(descriptor.Upstreams), 1)
	for c.Descriptors.Take(descriptor.Upstreams) {
	}
	is.NoErr(do(other.URL)) // the idle connection is closed
	for c.Descriptors.Take(descriptor.Upstreams) {
	}
	c.CloseIdle()
	for c.Descriptors.Take(descriptor.Upstreams) {
	}
	err := do(s.URL)
	is.True(errors.Is(err, ErrNoDescriptor))
}

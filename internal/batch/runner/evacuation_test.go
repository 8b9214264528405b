package runner

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// setDomains lists the engines of a testBench again, each in the domain of its name.
func (b *testBench) setDomains(versions map[string]uint64) {
	var listed []catalog.Entry
	for _, id := range []string{"one", "two"} {
		listed = append(listed, catalog.Entry{
			ID:            id,
			Service:       "s",
			Address:       id,
			FailureDomain: id,
			Slots:         2,
			Born:          1,
			Versions:      map[string]uint64{"m": versions[id]},
		})
	}
	b.runner.Upstreams.Update(listed, nil)
}

// Guards against an item that is sent to an engine whose domain was evacuated while the attempt
// waited for its connection, and against a stream that is resumed at an engine whose domain was
// evacuated during the attempt before.
func TestItemsAvoidEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	var attempts, received, late atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	var client wire.Client
	defer client.CloseIdle()
	var upstreams *catalog.Upstreams
	b := newTestBench(t, func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if u.Evacuated() {
			late.Add(1)
		}
		switch attempts.Add(1) {
		case 1:
			upstreams.SetEvacuated(map[string]bool{u.FailureDomain: true})
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, nil)
			is.NoErr(err)
			_, _, err = client.Do(req, wire.Pooled)
			is.True(errors.Is(err, engine.ErrWithdrawn))
			return err
		case 2:
			is.NoErr(emitEvents(attempt.After, 2, 5, emit))
			upstreams.SetEvacuated(map[string]bool{u.FailureDomain: true})
			return engine.ErrIncompleteResponse
		}
		return emitEvents(attempt.After, 4, 5, emit)
	})
	upstreams = b.runner.Upstreams
	b.setDomains(map[string]uint64{"one": 5, "two": 5})
	is.NoErr(b.submit("x1"))
	is.Equal(len(b.waitForResults(1)), 1)
	is.Equal(attempts.Load(), int32(3))
	is.Equal(received.Load(), int32(0))
	is.Equal(late.Load(), int32(0))
}

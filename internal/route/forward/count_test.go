package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// counter is a UsageCounter that keeps the counts by organisation.
type counter map[string]int

// RequestStarted implements UsageCounter.
func (c counter) RequestStarted(organisation string) (undo func()) {
	c[organisation]++
	return func() { c[organisation]-- }
}

// Guards against an organisation that is billed for a request that no upstream ran, or
// billed twice for one that ran at two upstreams.
func TestRequestIsCountedOnceIfItRan(t *testing.T) {
	property.CheckN(t, 200, func(t *rapid.T) {
		is := is.New(t)
		all := []behaviour{answers, fails, refuses, unsent, breaks, misdirects}
		s := &sender{
			behaviours: rapid.SliceOfN(rapid.SampledFrom(all), 1, 5).Draw(t, "behaviours"),
		}
		f, stop := newForwarder(s, 3)
		defer stop()
		counted := counter{}
		f.Usage = counted
		_, _ = f.Do(context.Background(), Request{
			ID:           "r",
			Organisation: "saddlers",
			Route: catalog.Route{
				Kind:     catalog.Idempotent,
				Split:    []catalog.WeightedService{{Service: "s", Weight: 1}},
				Attempts: 3,
			},
		})
		s.mu.Lock() // a second attempt may still be in flight
		defer s.mu.Unlock()
		is.Equal(counted["saddlers"], min(1, s.runs))
	})
}

// Guards against a count for a request without an organisation.
func TestRequestsWithoutOrganisationAreNotCounted(t *testing.T) {
	is := is.New(t)
	f, stop := newForwarder(&sender{behaviours: []behaviour{answers}}, 1)
	defer stop()
	counted := counter{}
	f.Usage = counted
	_, err := f.Do(context.Background(), Request{
		ID: "r",
		Route: catalog.Route{
			Split: []catalog.WeightedService{{Service: "s", Weight: 1}},
		},
	})
	is.NoErr(err)
	is.Equal(len(counted), 0)
}

// statuses is a Sender whose attempts are answered with these statuses in order, the
// last one for all further attempts.
type statuses []int

// Send implements Sender.
func (s *statuses) Send(context.Context, *catalog.Upstream, Request, time.Duration) (*Answer, error) {
	status := (*s)[0]
	if len(*s) > 1 {
		*s = (*s)[1:]
	}
	return &Answer{Status: status}, nil
}

// Guards against an item that is given up too early because reward calls that ran out of
// time were counted as failures.
func TestGatewayTimeoutIsNotCountedAsFailure(t *testing.T) {
	is := is.New(t)
	f, stop := newForwarder(&sender{behaviours: []behaviour{answers}}, 3)
	defer stop()
	f.Sender = &statuses{http.StatusInternalServerError, http.StatusGatewayTimeout, http.StatusGatewayTimeout}
	answer, err := f.Do(context.Background(), Request{
		ID: "r",
		Route: catalog.Route{
			Kind:     catalog.Idempotent,
			Split:    []catalog.WeightedService{{Service: "s", Weight: 1}},
			Attempts: 3,
			// Rules out hedging, with which the first answer may arrive last.
			Objective: time.Hour,
		},
	})
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusGatewayTimeout)
	is.Equal(answer.Failures, 1)
}

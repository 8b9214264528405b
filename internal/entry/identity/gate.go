package identity

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/fleet/confirmation"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/organisation"
)

// retryElsewhere tells callers when to come back that meet an instance which knows
// too little. Another one may know more at this moment.
const retryElsewhere = 100 * time.Millisecond

var errNoHolder = errors.New("no organisation holds the key of the request")

// Gate identifies requests.
type Gate struct {
	Config *catalog.Holder
	Record *confirmation.Record
	// Bound is how long after it was taken away a key may still be taken for good;
	// 0 sets no bound.
	Bound time.Duration
	// Refresh asks for a newer configuration before a key is called unknown; nil is
	// not called.
	Refresh func(ctx context.Context)
	Timer   timer.Service
	Journal *journal.Journal
	Metrics *Metrics
}

// Call is a request as far as it matters here.
type Call struct {
	RequestID string
	Header    http.Header
	// Public says that its route needs no key.
	Public bool
}

// Needed reports whether what this instance may serve hangs on confirmations.
func (g *Gate) Needed() bool { return g.Bound > 0 && g.Configured() }

// Configured reports whether requests bear keys at all.
func (g *Gate) Configured() bool {
	cfg := g.Config.Current()
	return cfg != nil && !cfg.Organisations.Empty()
}

// Begun reports whether this life of the instance could ever tell which keys hold.
func (g *Gate) Begun() bool {
	if !g.Needed() {
		return true
	}
	_, confirmed := g.Record.Age(g.Timer.Now())
	return confirmed
}

// Able reports whether this instance can tell at the moment which keys hold.
func (g *Gate) Able() bool { return !g.Needed() || g.Record.Within(g.Timer.Now(), g.Bound) }

// Identify returns on whose behalf a request is made; of a public route on nobody's.
// An error says that it must not run.
func (g *Gate) Identify(ctx context.Context, c Call) (organisation.Organisation, error) {
	key, keyErr := organisation.KeyOf(c.Header)
	e, org := g.evidence(key, keyErr, c.Public)
	if !e.Open && keyErr == nil && !e.Known && g.Refresh != nil {
		g.Refresh(ctx)
		e, org = g.evidence(key, keyErr, c.Public)
	}
	verdict := Decide(e)
	g.Metrics.count(verdict)
	switch {
	case verdict == Allowed && e.Open:
		return organisation.Organisation{}, nil
	case verdict == Allowed:
		return org, nil
	}
	g.refused(c, e, org, verdict)
	if verdict == Unknown {
		return organisation.Organisation{}, problem.Unauthorized.With(errors.Join(errNoHolder, keyErr))
	}
	return organisation.Organisation{}, problem.Unconfirmed.Withf("the configuration was last confirmed %s ago", e.Age).
		WithRetryAfter(retryElsewhere)
}

// refused logs why a request must not run.
func (g *Gate) refused(c Call, e Evidence, org organisation.Organisation, verdict Verdict) {
	fields := log.Fields{
		"request_id":   c.RequestID,
		"organisation": org.Name,
		"known":        e.Known,
		"confirmed":    e.Confirmed,
		"age_ms":       e.Age.Milliseconds(),
		"bound_ms":     e.Bound.Milliseconds(),
		"outcome":      string(verdict),
	}
	if e.KeyErr != nil {
		fields["error"] = e.KeyErr.Error()
	}
	g.Journal.Decision("identify", fields)
}

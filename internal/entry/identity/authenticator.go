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

// unconfirmedRetryAfter is the time after which a caller should retry a request that was
// refused for lack of a confirmation. It is short because another instance may have a
// newer confirmation already.
const unconfirmedRetryAfter = 100 * time.Millisecond

var errUnknownKey = errors.New("the key of the request belongs to no organisation")

// Authenticator identifies the organisations of requests.
type Authenticator struct {
	Config *catalog.Holder
	Record *confirmation.Record
	// Bound is the longest time for which a removed key may still be accepted; 0 sets no
	// limit.
	Bound time.Duration
	// Refresh fetches a newer configuration. It is called before a key is rejected as
	// unknown, unless it is nil.
	Refresh func(ctx context.Context)
	Timer   timer.Service
	Journal *journal.Journal
	Metrics *Metrics
}

// Call holds the parts of a request that identify its organisation.
type Call struct {
	RequestID string
	Header    http.Header
	// Public is set if the request may come without a key.
	Public bool
}

// NeedsConfirmation reports whether requests are accepted only while the configuration is
// confirmed: there is a bound, and organisations are configured.
func (a *Authenticator) NeedsConfirmation() bool { return a.Bound > 0 && a.HasOrganisations() }

// HasOrganisations reports whether organisations are configured, so that requests need keys.
func (a *Authenticator) HasOrganisations() bool {
	cfg := a.Config.Current()
	return cfg != nil && !cfg.Organisations.Empty()
}

// EverConfirmed reports whether the configuration was confirmed at least once since this
// instance started, or needs no confirmation.
func (a *Authenticator) EverConfirmed() bool {
	if !a.NeedsConfirmation() {
		return true
	}
	_, confirmed := a.Record.Age(a.Timer.Now())
	return confirmed
}

// Confirmed reports whether the configuration was confirmed within Bound, or needs no
// confirmation.
func (a *Authenticator) Confirmed() bool {
	return !a.NeedsConfirmation() || a.Record.Within(a.Timer.Now(), a.Bound)
}

// Identify returns the organisation on whose behalf a request is made. It returns the zero
// Organisation for a public request without a key, and while no organisations are
// configured. If it returns an error, the request must not run.
func (a *Authenticator) Identify(ctx context.Context, c Call) (organisation.Organisation, error) {
	key, keyErr := organisation.KeyOf(c.Header)
	e, org := a.gatherEvidence(key, keyErr, c.Public)
	if !e.Open && keyErr == nil && !e.KeyKnown && a.Refresh != nil {
		a.Refresh(ctx)
		e, org = a.gatherEvidence(key, keyErr, c.Public)
	}
	verdict := Decide(e)
	a.Metrics.countVerdict(verdict)
	if verdict == Allowed {
		return org, nil
	}
	a.logRefusal(c, e, org, verdict)
	if verdict == UnknownKey {
		return organisation.Organisation{}, problem.Unauthorized.With(errors.Join(errUnknownKey, keyErr))
	}
	return organisation.Organisation{}, problem.Unconfirmed.Withf("the configuration was last confirmed %s ago", e.Age).
		WithRetryAfter(unconfirmedRetryAfter)
}

// logRefusal logs the evidence on which a request was refused.
func (a *Authenticator) logRefusal(c Call, e Evidence, org organisation.Organisation, verdict Verdict) {
	fields := log.Fields{
		"request_id":   c.RequestID,
		"organisation": org.Name,
		"known":        e.KeyKnown,
		"confirmed":    e.Confirmed,
		"age_ms":       e.Age.Milliseconds(),
		"bound_ms":     e.Bound.Milliseconds(),
		"outcome":      string(verdict),
	}
	if e.KeyErr != nil {
		fields["error"] = e.KeyErr.Error()
	}
	a.Journal.Decision("identify", fields)
}

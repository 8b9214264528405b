package identity

import (
	"errors"
	"time"

	"github.com/egretbend/egretbend/internal/route/organisation"
)

// maxUnknownKeyAge is the age of the last confirmation from which a key that is missing
// from the configuration is no longer rejected as unknown. The key may have been added
// since the confirmation.
const maxUnknownKeyAge = 1500 * time.Millisecond

// Evidence holds the facts on which Decide bases its verdict.
type Evidence struct {
	// Open is set if no organisation is configured, so that keys mean nothing.
	Open bool
	// Public is set if the route of the request needs no key.
	Public bool
	// KeyErr tells why no key could be read from the request; nil if one was read.
	KeyErr error
	// KeyKnown is set if the configuration in force has the key.
	KeyKnown bool
	// Confirmed is set if the configuration in force was confirmed to be the newest one
	// at least once. Age is the time since the last confirmation.
	Confirmed bool
	Age       time.Duration
	// Bound is the age of the last confirmation from which known keys are no longer
	// accepted, because they may have been removed since; 0 accepts them at any age.
	Bound time.Duration
}

// Verdict is the decision about a request.
type Verdict string

// The verdicts.
const (
	// Allowed means that the request may run.
	Allowed Verdict = "allowed"
	// UnknownKey means that the request has no valid key of any organisation.
	UnknownKey Verdict = "unknown_key"
	// Unconfirmed means that the last confirmation is too old, or missing, to accept or
	// reject the key.
	Unconfirmed Verdict = "unconfirmed"
)

// Decide returns the verdict that follows from the evidence. A public route only spares callers the
// key: one that is sent all the same must be valid, as it tells whose request it is.
func Decide(e Evidence) Verdict {
	switch {
	case e.Open, e.Public && errors.Is(e.KeyErr, organisation.ErrNoKey):
		return Allowed
	case e.KeyErr != nil:
		return UnknownKey
	case e.KeyKnown && (e.Bound == 0 || e.Confirmed && e.Age < e.Bound):
		return Allowed
	case e.KeyKnown:
		return Unconfirmed
	case e.Bound == 0 || e.Confirmed && e.Age < maxUnknownKeyAge:
		return UnknownKey
	}
	return Unconfirmed
}

// gatherEvidence returns the current evidence about a key. It reads the age before the
// configuration, so that the configuration is at least as new as the one that was
// confirmed.
func (a *Authenticator) gatherEvidence(key string, keyErr error, public bool) (Evidence, organisation.Organisation) {
	e := Evidence{
		Public: public,
		KeyErr: keyErr,
		Bound:  a.Bound,
	}
	e.Age, e.Confirmed = a.Record.Age(a.Timer.Now())
	cfg := a.Config.Current()
	if cfg == nil {
		return e, organisation.Organisation{}
	}
	e.Open = cfg.Organisations.Empty()
	org, known := cfg.Organisations.Find(key)
	e.KeyKnown = known
	return e, org
}

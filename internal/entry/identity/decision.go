package identity

import (
	"time"

	"github.com/egretbend/egretbend/internal/route/organisation"
)

// newKeyAge is how old the knowledge may be by which a key is called unknown. A key
// may have been added since.
const newKeyAge = 1500 * time.Millisecond

// Evidence is what is known of a request's key.
type Evidence struct {
	// Open says that no key is needed: the route is public, or no organisation is
	// configured.
	Open bool
	// KeyErr says what is wrong with the key itself.
	KeyErr error
	// Known says that the configuration in force has the key.
	Known bool
	// Confirmed says that the configuration was ever surely the newest one, and Age
	// how long ago it was last.
	Confirmed bool
	Age       time.Duration
	// Bound is the age up to which a key counts that may have been taken away since;
	// 0 sets no bound.
	Bound time.Duration
}

// Verdict is what becomes of a request.
type Verdict string

// The verdicts.
const (
	// Allowed requests run.
	Allowed Verdict = "allowed"
	// Unknown keys belong to nobody.
	Unknown Verdict = "unknown_key"
	// Unsure means that this instance knows too little to say either.
	Unsure Verdict = "unconfirmed"
)

// Decide returns what becomes of a request.
func Decide(e Evidence) Verdict {
	switch {
	case e.Open:
		return Allowed
	case e.KeyErr != nil:
		return Unknown
	case e.Known && (e.Bound == 0 || e.Confirmed && e.Age < e.Bound):
		return Allowed
	case e.Known:
		return Unsure
	case e.Bound == 0 || e.Confirmed && e.Age < newKeyAge:
		return Unknown
	}
	return Unsure
}

// evidence gathers what is known now. The age is read before the configuration: what
// is in force then is at least as new as what the age is about.
func (g *Gate) evidence(key string, keyErr error, public bool) (Evidence, organisation.Organisation) {
	e := Evidence{
		KeyErr: keyErr,
		Bound:  g.Bound,
	}
	e.Age, e.Confirmed = g.Record.Age(g.Timer.Now())
	cfg := g.Config.Current()
	if cfg == nil {
		return e, organisation.Organisation{}
	}
	e.Open = public || cfg.Organisations.Empty()
	org, known := cfg.Organisations.Find(key)
	e.Known = known
	return e, org
}

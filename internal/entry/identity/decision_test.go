package identity

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/route/organisation"
)

func TestDecide(t *testing.T) {
	is := is.New(t)
	const bound = 5 * time.Second
	for name, c := range map[string]struct {
		e    Evidence
		want Verdict
	}{
		"no organisations":        {Evidence{Open: true, KeyErr: organisation.ErrMalformed}, Allowed},
		"public":                  {Evidence{Public: true, KeyErr: organisation.ErrNoKey, Bound: bound}, Allowed},
		"public, known key":       {Evidence{Public: true, KeyKnown: true, Confirmed: true, Bound: bound}, Allowed},
		"public, known too long":  {Evidence{Public: true, KeyKnown: true, Confirmed: true, Age: bound, Bound: bound}, Unconfirmed},
		"public, unknown key":     {Evidence{Public: true, Confirmed: true, Bound: bound}, UnknownKey},
		"public, malformed key":   {Evidence{Public: true, KeyErr: organisation.ErrMalformed}, UnknownKey},
		"without a key":           {Evidence{KeyErr: organisation.ErrNoKey, Confirmed: true, Bound: bound}, UnknownKey},
		"known and fresh":         {Evidence{KeyKnown: true, Confirmed: true, Age: bound - 1, Bound: bound}, Allowed},
		"known and too old":       {Evidence{KeyKnown: true, Confirmed: true, Age: bound, Bound: bound}, Unconfirmed},
		"known, never confirmed":  {Evidence{KeyKnown: true, Bound: bound}, Unconfirmed},
		"known without a bound":   {Evidence{KeyKnown: true}, Allowed},
		"unknown and fresh":       {Evidence{Confirmed: true, Age: maxUnknownKeyAge - 1, Bound: bound}, UnknownKey},
		"perhaps just added":      {Evidence{Confirmed: true, Age: maxUnknownKeyAge, Bound: bound}, Unconfirmed},
		"unknown without a bound": {Evidence{}, UnknownKey},
	} {
		is.Equal(name+" "+string(Decide(c.e)), name+" "+string(c.want))
	}
}

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
		"public":                  {Evidence{Open: true, KeyErr: organisation.ErrNoKey}, Allowed},
		"without a key":           {Evidence{KeyErr: organisation.ErrNoKey, Confirmed: true, Bound: bound}, Unknown},
		"known and fresh":         {Evidence{Known: true, Confirmed: true, Age: bound - 1, Bound: bound}, Allowed},
		"known and too old":       {Evidence{Known: true, Confirmed: true, Age: bound, Bound: bound}, Unsure},
		"known, never confirmed":  {Evidence{Known: true, Bound: bound}, Unsure},
		"known without a bound":   {Evidence{Known: true}, Allowed},
		"unknown and fresh":       {Evidence{Confirmed: true, Age: maxUnknownKeyAge - 1, Bound: bound}, Unknown},
		"perhaps just added":      {Evidence{Confirmed: true, Age: maxUnknownKeyAge, Bound: bound}, Unsure},
		"unknown without a bound": {Evidence{}, Unknown},
	} {
		is.Equal(name+" "+string(Decide(c.e)), name+" "+string(c.want))
	}
}

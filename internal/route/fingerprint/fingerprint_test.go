package fingerprint

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func parts(t *rapid.T) Parts {
	text := rapid.StringN(0, 4, 8)
	return Parts{
		Organisation: text.Draw(t, "organisation"),
		Method:       rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"),
		Host:         text.Draw(t, "host"),
		Target:       text.Draw(t, "target"),
		Body:         rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "body"),
	}
}

// Guards against two requests that are taken for one, as where a part ends is moved.
func TestDifferentRequestsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := parts(t), parts(t)
		same := a.Organisation == b.Organisation && a.Method == b.Method && a.Host == b.Host &&
			a.Target == b.Target && bytes.Equal(a.Body, b.Body)
		if (Of(a) == Of(b)) != same {
			t.Fatalf("%+v and %+v", a, b)
		}
	})
}

// Guards against a digest that anyone with a list of likely bodies can turn back.
func TestPrintDependsOnTheSecret(t *testing.T) {
	is := is.New(t)
	s := Of(Parts{Body: []byte("one hide")})
	is.Equal(s.Under([]byte("a")), s.Under([]byte("a")))
	is.True(s.Under([]byte("a")) != s.Under([]byte("b")))
	is.True(!bytes.HasPrefix(s[:], s.Under([]byte("a")).bytes()))
}

func (p Print) bytes() []byte { return p[:] }

func TestPrintAsText(t *testing.T) {
	is := is.New(t)
	p := Of(Parts{Target: "/cuts/7"}).Under([]byte("secret"))
	b, err := json.Marshal(p)
	is.NoErr(err)
	var back Print
	is.NoErr(json.Unmarshal(b, &back))
	is.Equal(back, p)
	is.True(json.Unmarshal([]byte(`"short"`), &back) != nil)
	is.True(json.Unmarshal([]byte(`"?"`), &back) != nil)
}

// BenchmarkOf measures what a request of 800 bytes costs while any is suspected.
func BenchmarkOf(b *testing.B) {
	p := Parts{
		Method: "POST",
		Host:   "orders.example",
		Target: "/confirm/17",
		Body:   make([]byte, 800),
	}
	secret := make([]byte, 32)
	b.ReportAllocs()
	for b.Loop() {
		_ = Of(p).Under(secret)
	}
}

package fingerprint

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drawParts(t *rapid.T) Parts {
	text := rapid.StringN(0, 4, 8)
	return Parts{
		Organisation: text.Draw(t, "organisation"),
		Method:       rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"),
		Host:         text.Draw(t, "host"),
		Target:       text.Draw(t, "target"),
		Body:         rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "body"),
	}
}

// Guards against equal digests of two requests whose parts differ only in where one part
// ends and the next begins.
func TestDifferentRequestsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawParts(t), drawParts(t)
		same := a.Organisation == b.Organisation && a.Method == b.Method && a.Host == b.Host &&
			a.Target == b.Target && bytes.Equal(a.Body, b.Body)
		if (DigestOf(a) == DigestOf(b)) != same {
			t.Fatalf("wrong comparison of the digests of %+v and %+v", a, b)
		}
	})
}

// Guards against a fingerprint that can be reversed with a list of likely bodies.
func TestFingerprintDependsOnTheSecret(t *testing.T) {
	is := is.New(t)
	s := DigestOf(Parts{Body: []byte("one hide")})
	is.Equal(s.Keyed([]byte("a")), s.Keyed([]byte("a")))
	is.True(s.Keyed([]byte("a")) != s.Keyed([]byte("b")))
	is.True(!bytes.HasPrefix(s[:], s.Keyed([]byte("a")).bytes()))
}

func (f Fingerprint) bytes() []byte { return f[:] }

func TestFingerprintTextRoundTrip(t *testing.T) {
	is := is.New(t)
	p := DigestOf(Parts{Target: "/cuts/7"}).Keyed([]byte("secret"))
	b, err := json.Marshal(p)
	is.NoErr(err)
	var decoded Fingerprint
	is.NoErr(json.Unmarshal(b, &decoded))
	is.Equal(decoded, p)
	is.True(json.Unmarshal([]byte(`"short"`), &decoded) != nil)
	is.True(json.Unmarshal([]byte(`"?"`), &decoded) != nil)
}

// BenchmarkOf measures the cost of fingerprinting a request with a body of 800 bytes, which
// each request pays while any request is suspected.
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
		_ = DigestOf(p).Keyed(secret)
	}
}

package organisation

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestFind(t *testing.T) {
	is := is.New(t)
	is.True(Directory{}.Empty())
	d := NewDirectory([]Organisation{
		{Name: "saddlers", Digests: []Digest{DigestOf("k1"), DigestOf("k2")}, Priority: 1},
		{Name: "bookbinders", Digests: []Digest{DigestOf("k3")}},
	})
	is.True(!d.Empty())
	for key, name := range map[string]string{"k1": "saddlers", "k2": "saddlers", "k3": "bookbinders"} {
		o, ok := d.Find(key)
		is.True(ok)
		is.Equal(o.Name, name)
	}
	_, ok := d.Find("k4")
	is.True(!ok)
	_, ok = d.Find(DigestOf("k1").String())
	is.True(!ok) // a digest is not accepted as a key
}

// Guards against turning off the check of keys for all organisations when one has lost its last
// key.
func TestOrganisationWithoutKeysStillRequiresKeys(t *testing.T) {
	is := is.New(t)
	is.True(!NewDirectory([]Organisation{{Name: "saddlers"}}).Empty())
}

// Guards against accepting a voucher for another organisation or another request.
func TestVerifyRejectsOtherOrganisationOrMessage(t *testing.T) {
	is := is.New(t)
	d := NewDirectory([]Organisation{
		{Name: "saddlers", Digests: []Digest{DigestOf("k1"), DigestOf("k2")}},
		{Name: "bookbinders", Digests: []Digest{DigestOf("k3")}},
	})
	voucher := Sign("k2", "request 1")
	o, ok := d.Verify("saddlers", "request 1", voucher)
	is.True(ok)
	is.Equal(o.Name, "saddlers")
	for _, c := range [][3]string{
		{"bookbinders", "request 1", voucher},
		{"saddlers", "request 2", voucher},
		{"saddlers", "request 1", Sign("k3", "request 1")},
		{"saddlers", "request 1", ""},
	} {
		_, ok = d.Verify(c[0], c[1], c[2])
		is.True(!ok)
	}
}

func TestParseDigest(t *testing.T) {
	is := is.New(t)
	d := DigestOf("k")
	parsed, err := ParseDigest(d.String())
	is.NoErr(err)
	is.Equal(parsed, d)
	for _, wrong := range []string{"", "k", d.String()[2:], d.String() + "00", strings.Repeat("g", 64)} {
		_, err := ParseDigest(wrong)
		is.True(err != nil)
	}
}

func TestKeyOf(t *testing.T) {
	is := is.New(t)
	header := func(values ...string) http.Header { return http.Header{Header: values} }
	key, err := KeyOf(header("Bearer abc"))
	is.NoErr(err)
	is.Equal(key, "abc")
	key, err = KeyOf(header("bearer  abc "))
	is.NoErr(err)
	is.Equal(key, "abc")
	_, err = KeyOf(http.Header{})
	is.True(errors.Is(err, ErrNoKey))
	for _, wrong := range []http.Header{
		header(""), header("Bearer"), header("Bearer "), header("Basic abc"), header("Bearer a b"), header("Bearer a\x00"),
		header("Bearer a", "Bearer b"), header("Bearer " + strings.Repeat("k", maxKeyBytes+1)),
	} {
		_, err = KeyOf(wrong)
		is.True(errors.Is(err, ErrMalformed))
	}
}

func FuzzKeyOf(f *testing.F) {
	for _, seed := range []string{"Bearer abc", "bearer", "", "Basic a", "Bearer \t", "Bearer é"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		key, err := KeyOf(http.Header{Header: {value}})
		if err != nil && key != "" {
			t.Fatalf("key %q was returned together with an error", key)
		}
		if err == nil && (key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n\x00") || !strings.Contains(value, key)) {
			t.Fatalf("invalid key %q was accepted", key)
		}
	})
}

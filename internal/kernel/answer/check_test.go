package answer

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// parse returns the response that begins with head.
func parse(t testing.TB, head string) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n")), nil)
	is.New(t).NoErr(err)
	return res
}

// Guards against heads that the standard library accepts although HTTP does not.
func TestInvalidHeads(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{
		"HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 +20 X\r\n", "HTTP/1.1 101 X\r\n", "HTTP/1.1 600 X\r\n",
		"HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n", "HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding : chunked\r\n",
		"HTTP/1.1 204 X\r\nContent-Length: 1\r\n", "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Logf("%q", head)
		is.True(errors.Is(Check(parse(t, head)), ErrInvalid))
	}
}

// Guards against valid heads that are rejected.
func TestValidHeads(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{
		"HTTP/1.1 200\r\n", "HTTP/1.1 200 \r\netag: x\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 204 No Content\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n", "HTTP/1.1 599 X\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.1 200 OK\r\nX_!#$%&'*+-.^`|~9: \t value with blanks\r\n",
	} {
		t.Logf("%q", head)
		is.NoErr(Check(parse(t, head)))
	}
}

// Guards against a client of http.Client that uses a response whose head is invalid.
func TestTransportRejectsInvalidHeads(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		nc, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(nc, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}))
	defer s.Close()
	client := http.Client{
		Transport: Transport{},
	}
	_, err := client.Get(s.URL)
	is.True(errors.Is(err, ErrInvalid))
}

// BenchmarkCheck measures the check of a response with 12 fields.
func BenchmarkCheck(b *testing.B) {
	res := parse(b, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\nEtag: 3e1b.07\r\nKeep-Alive: timeout=5\r\n"+
		"Date: x\r\nA: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\nE: 1\r\nF: 1\r\nG: 1\r\n")
	b.ReportAllocs()
	for b.Loop() {
		if err := Check(res); err != nil {
			b.Fatal(err)
		}
	}
}

package wire

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a check that depends on how the bytes of a response are divided into reads.
func TestHeadCheck(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		response string
		err      error
	}{
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nbody", nil},
		{"HTTP/1.0 200 OK\r\nA: Transfer-Encoding\r\n\r\nbody\r\nTransfer-Encoding: chunked\r\n\r\n", nil},
		{"HTTP/1.0 200 OK\nA: 1\n\nbody\nTransfer-Encoding: chunked\n\n", nil},
		{"HTTP/1.0 200 OK\r\nA: 1\r\ntransfer-Encoding: chunked\r\n\r\nbody", errOldCoding},
		{"HTTP/1.0 200 OK\r\nA: " + strings.Repeat("x", 8000) + "\nTransfer-Encoding: chunked\n\nbody", errOldCoding},
		{"HTTP 200", errNoResponse},
		{"body", errNoResponse},
	} {
		for _, size := range []int{8, 9, 100, 4096, len(c.response)} {
			var h headCheck
			h.begin.Store(true)
			var err error
			for rest := c.response; err == nil && rest != ""; rest = rest[min(size, len(rest)):] {
				err = h.check([]byte(rest[:min(size, len(rest))]))
			}
			t.Logf("%.40q in parts of %d: %v", c.response, size, err)
			is.True(errors.Is(err, c.err))
		}
	}
}

// BenchmarkHeadCheck measures the check of an ordinary response.
func BenchmarkHeadCheck(b *testing.B) {
	p := []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	var h headCheck
	b.ReportAllocs()
	for b.Loop() {
		h.begin.Store(true)
		if err := h.check(p); err != nil {
			b.Fatal(err)
		}
	}
}

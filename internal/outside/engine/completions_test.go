package engine

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// countingReader reads as its text, again and again, and counts the bytes.
type countingReader struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.read%len(r.text):])
	r.read += n
	return n, nil
}

// Guards against a stream that is read until its deadline although it has no tokens.
func TestStreamWithoutTokens(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"\n", ": comment\n", "other\n\n", `data: {"attempt":"a"}` + "\n\n", "x"} {
		t.Logf("%q", text)
		r := &countingReader{
			text: strings.Repeat(text, 1000),
		}
		_, err := readStream(io.LimitReader(r, 32*maxSilentBytes), Request{
			Attempt: "a",
		}, func(Token) error { return nil })
		is.True(errors.Is(err, ErrIncompleteResponse))
		is.True(r.read < 2*maxSilentBytes)
	}
}

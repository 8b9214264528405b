package fingerprint

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

// Parts are what makes a request what it is. Its id is none of them: each time that a
// request is sent again it has another one.
type Parts struct {
	// Organisation is on whose behalf it is made; empty for nobody's.
	Organisation string
	Method       string
	Host         string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Sum is the digest of a request. It must not leave the process.
type Sum [sha256.Size]byte

// Of returns the digest of a request.
func Of(p Parts) Sum {
	h := sha256.New()
	var size [8]byte
	part := func(n int) {
		binary.LittleEndian.PutUint64(size[:], uint64(n))
		h.Write(size[:])
	}
	for _, s := range [...]string{p.Organisation, p.Method, p.Host, p.Target} {
		part(len(s))
		h.Write([]byte(s))
	}
	part(len(p.Body))
	h.Write(p.Body)
	var sum Sum
	h.Sum(sum[:0])
	return sum
}

// printBytes is the length of a Print.
const printBytes = 16

// Print is a digest under a secret that all instances share.
type Print [printBytes]byte

// Under returns the digest under a secret.
func (s Sum) Under(secret []byte) Print {
	h := hmac.New(sha256.New, secret)
	h.Write(s[:])
	var p Print
	copy(p[:], h.Sum(nil))
	return p
}

// String implements fmt.Stringer.
func (p Print) String() string { return base64.RawURLEncoding.EncodeToString(p[:]) }

// MarshalText implements encoding.TextMarshaler.
func (p Print) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Print) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("fingerprint: %w", err)
	}
	if len(b) != printBytes {
		return fmt.Errorf("fingerprint: %d bytes, not %d", len(b), printBytes)
	}
	copy(p[:], b)
	return nil
}

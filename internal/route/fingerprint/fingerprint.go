package fingerprint

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

// Parts are the parts of a request that identify it. The request id is not one of them: it
// changes each time the request is sent.
type Parts struct {
	// Organisation is the organisation that the request is made for; empty for none.
	Organisation string
	Method       string
	Host         string
	// Target is the path with the query string.
	Target string
	Body   []byte
}

// Digest is the SHA-256 digest of a request. It must not leave the process.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request. Each part is preceded by its length, so that requests
// whose parts are split differently have different digests.
func DigestOf(p Parts) Digest {
	h := sha256.New()
	var size [8]byte
	writeLength := func(n int) {
		binary.LittleEndian.PutUint64(size[:], uint64(n))
		h.Write(size[:])
	}
	for _, s := range [...]string{p.Organisation, p.Method, p.Host, p.Target} {
		writeLength(len(s))
		h.Write([]byte(s))
	}
	writeLength(len(p.Body))
	h.Write(p.Body)
	var sum Digest
	h.Sum(sum[:0])
	return sum
}

// fingerprintBytes is the length of a Fingerprint in bytes.
const fingerprintBytes = 16

// Fingerprint is a truncated HMAC-SHA-256 of a Digest, keyed with a secret that all
// instances share.
type Fingerprint [fingerprintBytes]byte

// Keyed returns the fingerprint of d keyed with secret.
func (d Digest) Keyed(secret []byte) Fingerprint {
	h := hmac.New(sha256.New, secret)
	h.Write(d[:])
	var p Fingerprint
	copy(p[:], h.Sum(nil))
	return p
}

// String implements fmt.Stringer.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("fingerprint %q: %w", text, err)
	}
	if len(b) != fingerprintBytes {
		return fmt.Errorf("fingerprint %q has %d bytes instead of %d", text, len(b), fingerprintBytes)
	}
	copy(f[:], b)
	return nil
}

package organisation

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"

	"github.com/egretbend/egretbend/internal/route/residency"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses the text form of a digest, 64 hexadecimal digits.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(d) {
		return d, fmt.Errorf("expected %d hexadecimal digits; make them with `egretbend digest`", 2*len(d))
	}
	copy(d[:], b)
	return d, nil
}

// String returns the text form, which is hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Organisation is an organisation on whose behalf requests are made, with its keys.
type Organisation struct {
	Name string
	// Digests are the digests of its keys.
	Digests []Digest
	// Priority is its rank; 0 is the highest. It takes precedence over that of a route.
	Priority int
	// Regions are the regions in which its requests may be served and stored.
	Regions residency.Regions
}

// Directory finds organisations by their keys. Its zero value is empty.
type Directory struct {
	byDigest map[Digest]entry
	count    int
}

// entry holds the digest again beside the organisation, for a comparison in
// constant time.
type entry struct {
	digest       Digest
	organisation Organisation
}

// NewDirectory returns a directory of the given organisations.
func NewDirectory(organisations []Organisation) Directory {
	d := Directory{
		byDigest: make(map[Digest]entry),
		count:    len(organisations),
	}
	for _, o := range organisations {
		for _, digest := range o.Digests {
			d.byDigest[digest] = entry{
				digest:       digest,
				organisation: o,
			}
		}
	}
	return d
}

// Empty reports whether there is no organisation, in which case requests need no key.
func (d Directory) Empty() bool { return d.count == 0 }

// Find returns the organisation that owns a key.
func (d Directory) Find(key string) (Organisation, bool) {
	digest := DigestOf(key)
	e, ok := d.byDigest[digest]
	if !ok || subtle.ConstantTimeCompare(e.digest[:], digest[:]) != 1 {
		return Organisation{}, false
	}
	return e.organisation, true
}

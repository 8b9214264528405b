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
	// regions holds the regions of the organisations that are restricted, by name.
	regions map[string]residency.Regions
	count   int
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
		regions:  make(map[string]residency.Regions),
		count:    len(organisations),
	}
	for _, o := range organisations {
		if o.Regions.Restricted() {
			d.regions[o.Name] = d.regions[o.Name].Intersect(o.Regions)
		}
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

// Regions returns the regions in which requests of an organisation may be served. An
// organisation that is not listed is not restricted.
func (d Directory) Regions(name string) residency.Regions { return d.regions[name] }

// RestrictedRegions returns the regions of each organisation that is restricted, by its name.
// The map must not be changed.
func (d Directory) RestrictedRegions() map[string]residency.Regions { return d.regions }

// Find returns the organisation that owns a key.
func (d Directory) Find(key string) (Organisation, bool) {
	digest := DigestOf(key)
	e, ok := d.byDigest[digest]
	if !ok || subtle.ConstantTimeCompare(e.digest[:], digest[:]) != 1 {
		return Organisation{}, false
	}
	return e.organisation, true
}

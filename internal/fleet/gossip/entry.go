package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Kind is the type of information that an entry holds.
type Kind uint8

// The kinds of entries.
const (
	KindMember Kind = iota + 1
	KindLeaving
	KindWeights
	KindConfiguration
	KindUpstream
	KindDemand
	KindCrashes
	KindSecret
	kindCount
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case KindMember:
		return "member"
	case KindLeaving:
		return "leaving"
	case KindWeights:
		return "weights"
	case KindConfiguration:
		return "configuration"
	case KindUpstream:
		return "upstream"
	case KindDemand:
		return "demand"
	case KindCrashes:
		return "crashes"
	case KindSecret:
		return "secret"
	}
	return "unknown"
}

// Version orders the entries of one kind and key, by Major first.
type Version struct {
	Major uint64
	Minor uint64
}

// Less reports whether v is lower than w.
func (v Version) Less(w Version) bool {
	if v.Major != w.Major {
		return v.Major < w.Major
	}
	return v.Minor < w.Minor
}

// Entry is a versioned value. The bytes of Value are never modified in place.
type Entry struct {
	Kind    Kind
	Key     string
	Version Version
	Value   []byte
	// Expires is the Unix time in seconds after which every instance removes the
	// entry; zero means never. It is wall-clock time, so that an instance that
	// still has the entry can't bring it back to one that removed it.
	Expires int64
}

type entryKey struct {
	kind Kind
	key  string
}

func (e Entry) id() entryKey {
	return entryKey{
		kind: e.Kind,
		key:  e.Key,
	}
}

// hash covers the fields that Merge compares.
func (e Entry) hash() uint64 {
	var b [17]byte
	b[0] = byte(e.Kind)
	binary.LittleEndian.PutUint64(b[1:], e.Version.Major)
	binary.LittleEndian.PutUint64(b[9:], e.Version.Minor)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(e.Key)
	return d.Sum64()
}

func (e Entry) bucket() int {
	return int(xxhash.Sum64String(e.Key) % Buckets)
}

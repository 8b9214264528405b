package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// MaxEntries bounds the entries in one message; the rest follows with the
// next exchanges.
const MaxEntries = 256

// Args is what an instance sends to another.
type Args struct {
	From   string
	Root   uint64
	Digest []uint64
	Fresh  []Entry
	// Load is the share of its capacity that the sender uses.
	Load float64
}

// Reply is the answer to Args. Digest is set when the roots differ.
type Reply struct {
	Digest  []uint64
	Entries []Entry
	Load    float64
}

// Root folds a digest into one hash.
func (d Digest) Root() uint64 {
	var b [8 * Buckets]byte
	for i, h := range d {
		binary.LittleEndian.PutUint64(b[i*8:], h)
	}
	return xxhash.Sum64(b[:])
}

// Ask returns the first message of an exchange.
func (s *State) Ask(from string) Args {
	return Args{
		From:  from,
		Fresh: s.fresh(),
		Root:  s.Digest().Root(),
	}
}

// Answer merges what came and returns what the asker lacks.
func (s *State) Answer(args Args, now int64) Reply {
	s.MergeAll(unexpired(args.Fresh, now))
	mine := s.Digest()
	if args.Root == mine.Root() {
		return Reply{}
	}
	reply := Reply{
		Digest: mine[:],
	}
	if args.Digest == nil {
		reply.Entries = s.fresh()
		return reply
	}
	reply.Entries = s.Differing(args.Digest)
	return reply
}

// Take merges a reply. When the two still differ it returns the message that
// settles the difference, and true.
func (s *State) Take(from string, reply Reply, now int64) (Args, bool) {
	s.MergeAll(unexpired(reply.Entries, now))
	mine := s.Digest()
	if reply.Digest == nil || len(reply.Digest) != Buckets || mine == Digest(reply.Digest) {
		return Args{}, false
	}
	return Args{
		From:   from,
		Root:   mine.Root(),
		Digest: mine[:],
		Fresh:  s.Differing(reply.Digest),
	}, true
}

// Differing returns entries of the buckets whose hash is not the same in
// other, at most MaxEntries.
func (s *State) Differing(other []uint64) []Entry {
	if len(other) != Buckets {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Entry
	for _, e := range s.entries {
		if len(list) == MaxEntries {
			break
		}
		if b := e.bucket(); s.digest[b] != other[b] {
			list = append(list, e)
		}
	}
	return list
}

// fresh returns entries that were not yet passed on often enough.
func (s *State) fresh() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Entry
	for id := range s.hot {
		if len(list) == MaxEntries {
			break
		}
		list = append(list, s.entries[id])
		s.hot[id]--
		if s.hot[id] <= 0 {
			delete(s.hot, id)
		}
	}
	return list
}

func unexpired(list []Entry, now int64) []Entry {
	kept := list[:0:0]
	for _, e := range list {
		if e.Expires == 0 || e.Expires >= now {
			kept = append(kept, e)
		}
	}
	return kept
}

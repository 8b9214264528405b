package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// MaxEntries is the maximum number of entries in one message; the rest follows
// in later exchanges.
const MaxEntries = 256

// Args is a message of the instance that starts an exchange.
type Args struct {
	// From is the name of the sender.
	From string
	// Root is the root hash of the sender's entries.
	Root uint64
	// Digest is nil in the first message of an exchange.
	Digest []uint64
	// Fresh holds entries for the receiver: in the first message those that the
	// sender still has to pass on, in the second those of differing buckets.
	Fresh []Entry
	// Load is the share of its capacity that the sender uses, from 0 to 1.
	Load float64
}

// Reply is the answer to Args. Digest is set if the root hashes differ.
type Reply struct {
	Digest  []uint64
	Entries []Entry
	Load    float64
}

// Root combines the bucket hashes into one hash.
func (d Digest) Root() uint64 {
	var b [8 * Buckets]byte
	for i, h := range d {
		binary.LittleEndian.PutUint64(b[i*8:], h)
	}
	return xxhash.Sum64(b[:])
}

// NewExchange returns the first message of an exchange.
func (s *State) NewExchange(from string) Args {
	return Args{
		From:  from,
		Fresh: s.nextFresh(),
		Root:  s.Digest().Root(),
	}
}

// HandleArgs merges the entries of a message, and replies with entries that the
// sender lacks if the root hashes still differ. now is the wall-clock time in
// Unix seconds; expired entries are not merged.
func (s *State) HandleArgs(args Args, now int64) Reply {
	s.MergeAll(unexpired(args.Fresh, now))
	digest := s.Digest()
	if args.Root == digest.Root() {
		return Reply{}
	}
	reply := Reply{
		Digest: digest[:],
	}
	if args.Digest == nil {
		reply.Entries = s.nextFresh()
		return reply
	}
	reply.Entries = s.Differing(args.Digest)
	return reply
}

// HandleReply merges the entries of a reply. If the two instances still differ, it
// returns the second message of the exchange, with the entries of the differing
// buckets, and true. now is the wall-clock time in Unix seconds; expired entries
// are not merged.
func (s *State) HandleReply(from string, reply Reply, now int64) (Args, bool) {
	s.MergeAll(unexpired(reply.Entries, now))
	digest := s.Digest()
	if reply.Digest == nil || len(reply.Digest) != Buckets || digest == Digest(reply.Digest) {
		return Args{}, false
	}
	return Args{
		From:   from,
		Root:   digest.Root(),
		Digest: digest[:],
		Fresh:  s.Differing(reply.Digest),
	}, true
}

// Differing returns at most MaxEntries entries, of the buckets whose hashes
// differ from those in other.
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

// nextFresh returns at most MaxEntries of the entries that have transmissions
// left, and counts one transmission for each of them.
func (s *State) nextFresh() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Entry
	for id := range s.transmissionsLeft {
		if len(list) == MaxEntries {
			break
		}
		list = append(list, s.entries[id])
		s.transmissionsLeft[id]--
		if s.transmissionsLeft[id] <= 0 {
			delete(s.transmissionsLeft, id)
		}
	}
	return list
}

// unexpired returns the entries of list that have not expired at now.
func unexpired(list []Entry, now int64) []Entry {
	kept := list[:0:0]
	for _, e := range list {
		if e.Expires == 0 || e.Expires >= now {
			kept = append(kept, e)
		}
	}
	return kept
}
